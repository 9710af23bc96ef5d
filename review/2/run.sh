#!/usr/bin/env bash
# A gateway gets SIGTERM while sessions send one operation after another.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
python3 -m review.standin.case_lost_at_stop &
played=$!
trap 'kill -TERM "$played" 2>/dev/null; wait "$played"; exit 2' TERM INT
wait "$played"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
