VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: setup lint format test demo bench fuzz prove-mutants

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --editable .
	touch $(STAMP)

lint: setup
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests

format: setup
	$(BIN)/ruff format src tests
	$(BIN)/ruff check --fix src tests

test: setup
	$(BIN)/python -m pytest tests

demo: setup
	$(BIN)/python -m monsoonmill.load.demo

bench: setup
	$(BIN)/python -m monsoonmill.load.bench

fuzz: setup
	MONSOON_FUZZ_EXAMPLES=2000 $(BIN)/python -m pytest tests -k fuzz

prove-mutants: setup
	$(BIN)/python -m pytest tests -k mutant
