PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := decisions store node operator standins
STAMP := $(VENV)/.installed
MANIFESTS := constraints.txt requirements.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml

.PHONY: setup format lint check demo test bench bench-full slopes

setup: $(STAMP)

$(STAMP): $(MANIFESTS)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt setuptools
	$(BIN)/pip install --quiet --no-build-isolation --constraint constraints.txt \
	  --requirement requirements.txt \
	  $(foreach name,$(PACKAGES),--editable packages/$(name)) --editable platform
	touch $(STAMP)

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: lint
	$(BIN)/python -m tools.test_run

demo: setup
	$(BIN)/python -m ebonyhaven_standins.demo

bench: setup
	$(BIN)/python -m ebonyhaven_standins.bench --short

bench-full: setup
	$(BIN)/python -m ebonyhaven_standins.bench --full

slopes: setup
	$(BIN)/python -m ebonyhaven_standins.slopes
