#!/usr/bin/env bash
# Runs a case five times, and once without its disruption: review/run5.sh N
cd "$(dirname "$0")/.." || exit 2
for turn in 1 2 3 4 5; do
    "review/$1/run.sh"
    echo "case $1, run $turn: exit $?"
done
cp "review/$1/record.txt" "review/$1/record.tmp"
TROUBLE=0 "review/$1/run.sh"
echo "case $1, TROUBLE=0: exit $?"
mv "review/$1/record.tmp" "review/$1/record.txt"
