#!/usr/bin/env bash
# A primary crashes while one replica is deaf and the other, which has all, is busy.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
python3 -m review.standin.case_sync_replicas &
played=$!
trap 'kill -TERM "$played" 2>/dev/null; wait "$played"; exit 2' TERM INT
wait "$played"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
