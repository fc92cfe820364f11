# PYTHON makes the virtual environment; VENV may name one that exists already.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.requirements-installed

.PHONY: demo test test-long test-processes bench bench-processes lint format install

install: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(STAMP)

demo: $(STAMP)
	PYTHON=$(BIN)/python bash scripts/demo.sh

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: lint
	$(BIN)/python -m pytest

test-long: $(STAMP)
	OLEANDERHITCH_TEST_PROFILE=long $(BIN)/python -m pytest

test-processes: $(STAMP)
	PYTHON=$(BIN)/python bash scripts/process_tests.sh

bench: $(STAMP)
	$(BIN)/python -m bench.process.commands.decisions

bench-processes: $(STAMP)
	PYTHON=$(BIN)/python bash scripts/bench_processes.sh
