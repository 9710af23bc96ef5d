#!/usr/bin/env bash
# A gateway gets SIGTERM while sessions send one operation after another.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -m review.standin.case_lost_at_stop
