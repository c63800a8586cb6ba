# Directory of the virtual environment; set VENV to use another one.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
SOURCES = camphorpath standins tools tests
SEED ?= 1
DURATION_S ?= 60

.PHONY: test demo lint format check-generated generate binary soak measure clean

$(VENV)/.installed: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	touch $@

test: $(VENV)/.installed
	$(BIN)/python -m pytest

demo: $(VENV)/.installed
	$(BIN)/python -m tools.demo

lint: $(VENV)/.installed
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

format: $(VENV)/.installed
	$(BIN)/ruff check --fix --quiet $(SOURCES)
	$(BIN)/ruff format $(SOURCES)

generate: $(VENV)/.installed
	PATH=$(abspath $(BIN)):$$PATH $(BIN)/python tools/generate.py

check-generated: $(VENV)/.installed
	PATH=$(abspath $(BIN)):$$PATH $(BIN)/python tools/generate.py --check

binary: $(VENV)/.installed
	$(BIN)/python -m tools.binary

soak: $(VENV)/.installed
	$(BIN)/python -m tools.soak --seed $(SEED) --duration-s $(DURATION_S)

measure: $(VENV)/.installed
	$(BIN)/python -m tools.measure $(ARGS)

clean:
	rm -rf build dist $(VENV)
