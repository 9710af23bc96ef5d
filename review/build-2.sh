#!/bin/sh
# Checks that the stand-ins of cases 6 to 10 can be imported. They are Python
# modules that use the libraries in target/deps; nothing else has to be built.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:. exec python3 -c "
import importlib, pathlib
for path in sorted(pathlib.Path('review/standin2').glob('*.py')):
    importlib.import_module('review.standin2.' + path.stem)
"
