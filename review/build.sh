#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python of the standard library
# only, so this checks the interpreter and compiles them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
python3 -m compileall -q review
