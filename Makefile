VENV ?= .venv
PY := $(VENV)/bin/python
DEPLOYMENT ?= sawari
SEEDS ?= 20
FIRST ?= 1
WORKERS ?= 6
STAMP := $(VENV)/.installed

.PHONY: try test lint format bench faults slopes soak install

install: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(PY) -m pip install -q --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(STAMP)

try: $(STAMP)
	$(PY) -m catkincrank $(if $(PLATFORM),gateway-trial,try --deployment $(DEPLOYMENT))

test: $(STAMP)
	$(PY) -m pytest -n $(WORKERS)

lint: $(STAMP)
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m flake8 .

format: $(STAMP)
	$(PY) -m ruff check --fix .
	$(PY) -m ruff format .

bench: $(STAMP)
	$(PY) -m benchmarks.run $(if $(QUICK),--quick)

faults: $(STAMP)
	$(PY) -m benchmarks.faults --seeds $(SEEDS)

slopes: $(STAMP)
	$(PY) -m benchmarks.slopes

soak: $(STAMP)
	$(PY) -m benchmarks.soak.run --seeds $(SEEDS) --first $(FIRST)
