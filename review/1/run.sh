#!/usr/bin/env bash
# A primary crashes while one replica is deaf and the other, which has all, is busy.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -m review.standin.case_sync_replicas
