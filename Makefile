PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: run test format docs

run: $(STAMP)
	$(BIN)/wigeonford demo --deployment guild --requests 500

test: $(STAMP)
	$(BIN)/ruff format --check src tests tools
	$(BIN)/ruff check src tests tools
	$(BIN)/flake8 src tests tools
	$(BIN)/mypy
	$(BIN)/python -m nose2

format: $(STAMP)
	$(BIN)/ruff check --fix --quiet src tests tools
	$(BIN)/ruff format src tests tools

docs: $(STAMP)
	$(BIN)/python -m tools.pages

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -c constraints.txt -e '.[bench,dev]'
	touch $(STAMP)
