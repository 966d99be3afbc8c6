PYTHON ?= python3.11
VENV ?= .venv
STAMP = $(VENV)/.installed
BINARY = dist/balsamreach
# The binary unpacks itself here. The hosts have no disk, so the place is in a
# memory file system; SHIV_ROOT in the environment overrides it.
BINARY_ROOT = /dev/shm/balsamreach
SOURCES = $(shell find src -name '*.py' -o -name '*.ini' -o -name '*.capnp')
CHECKED = src tests tools bench deploy

.PHONY: soak test-bench bench slopes venv trial test test-binary lint format binary

venv: $(STAMP)

$(STAMP): constraints.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check \
		-c constraints.txt -e '.[dev,bench]'
	touch $@

trial: $(STAMP)
	$(VENV)/bin/balsamreach trial

test: $(STAMP)
	$(VENV)/bin/python tools/run_tests.py tests
	$(VENV)/bin/python tools/run_tests.py --serial tests/crowds

test-binary: $(STAMP) $(BINARY)
	$(VENV)/bin/python tools/run_tests.py tests/binary

# Real router processes under signals and restarts: make soak SEED=1 LAST=50
LAST ?= $(SEED)
soak: $(STAMP)
	$(VENV)/bin/python -m tests.soak_run $(SEED) $(LAST)

# All scenarios, or one: make bench SCENARIO=relay SEED=2
SCENARIO ?=
SEED ?= 1
bench: $(STAMP)
	PYTHONPATH=. $(VENV)/bin/python -m bench $(SCENARIO) --seed $(SEED)

# All slopes of docs/CAPACITY.md, or some: make slopes SLOPE="edits links"
SLOPE ?= --all
slopes: $(STAMP)
	PYTHONPATH=. $(VENV)/bin/python -m bench.slopes $(SLOPE)

# The smoke form of every scenario, judged on counts.
test-bench: $(STAMP)
	$(VENV)/bin/python tools/run_tests.py tests/bench

lint: $(STAMP)
	$(VENV)/bin/ruff format --check $(CHECKED)
	$(VENV)/bin/ruff check $(CHECKED)
	$(VENV)/bin/flake8 $(CHECKED)
	$(VENV)/bin/python tools/check_imports.py src
	$(VENV)/bin/python tools/check_names.py src

format: $(STAMP)
	$(VENV)/bin/ruff format $(CHECKED)
	$(VENV)/bin/ruff check --fix $(CHECKED)

binary: $(BINARY)

# A build directory left by an earlier build would put modules into the file
# that the checkout no longer has. The byte code isn't compiled at the start
# (--compile-pyc): that would start child processes.
$(BINARY): $(STAMP) $(SOURCES)
	rm -rf build
	mkdir -p dist
	PIP_DISABLE_PIP_VERSION_CHECK=1 $(VENV)/bin/shiv --compressed \
		--reproducible --root $(BINARY_ROOT) \
		-p '/usr/bin/env python3.11' -e balsamreach.ui.main:main \
		-o $(BINARY) --quiet --constraint constraints.txt .
