PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SETUP := $(VENV)/.installed

.PHONY: setup demo playground test lint matrix bench slopes outages soak

setup: $(SETUP)

$(SETUP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(SETUP)

demo: setup
	$(BIN)/python -m fuchsiatrack_standins.demo

playground: setup
	$(BIN)/python -m fuchsiatrack_standins.playground

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/black --check --quiet src tests
	$(BIN)/ruff check src tests

matrix: setup
	$(BIN)/python -m fuchsiatrack_standins.scenarios.matrix

bench: setup
	$(BIN)/python -m fuchsiatrack_standins.bench
	$(BIN)/python -m fuchsiatrack_standins.compare_placement
	$(BIN)/python -m fuchsiatrack_standins.compare_balancing

slopes: setup
	$(BIN)/python -m fuchsiatrack_standins.slopes

outages: setup
	$(BIN)/python tests/outages.py

soak: setup
	$(BIN)/python -m fuchsiatrack_standins.soak --seeds=$(or $(SEEDS),1-50)
