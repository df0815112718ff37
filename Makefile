VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core entry ctl standins bench
EDITABLE := $(foreach p,$(PACKAGES),-e packages/$(p)) -e platform
SEED ?= 1
SEEDS ?= 10
BEFORE ?= HEAD~1
TOOLS := pytest pytest-bdd hypothesis import-linter mypy ruff flake8 wemake-python-styleguide

.PHONY: install demo test lint unit fuzz soak goodput bench bench-quick slopes format clean

install: $(VENV)/.installed

$(VENV)/.installed: constraints.txt $(foreach p,$(PACKAGES),packages/$(p)/pyproject.toml) platform/pyproject.toml
	test -x $(BIN)/python || python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt $(EDITABLE) $(TOOLS)
	touch $@

demo: install
	$(BIN)/python -m tamarackway_bench demo

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 packages platform
	$(BIN)/mypy packages platform
	$(BIN)/lint-imports

unit: install
	$(BIN)/pytest

test: lint unit

fuzz: install
	TAMARACKWAY_FUZZ=1 $(BIN)/pytest -k 'machine or fuzz'

soak: install
	$(BIN)/python -m tamarackway_platform.tests.soak --first-seed $(SEED) --seeds $(SEEDS)

goodput: install
	$(BIN)/python -m tamarackway_platform.tests.goodput $(BEFORE)

bench: install
	$(BIN)/python -m tamarackway_bench figures

bench-quick: install
	$(BIN)/python -m tamarackway_bench figures --quick

slopes: install
	$(BIN)/python -m tamarackway_bench slopes

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache .hypothesis
