#!/bin/sh
# Runs a case's script five times with and five times without its disruption:
# review/run5-2.sh N
cd "$(dirname "$0")/.." || exit 2
for trouble in 0 0 0 0 0 1 1 1 1 1; do
    TROUBLE=$trouble "review/$1/run.sh"
    echo "case $1, TROUBLE=$trouble: exit status $?"
done
