PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
export PYTHONPATH := src:.
CODE := src tests benchmarks examples

.PHONY: test lint format check-tests demo bench soak binary binary-check clean

BINARY := build/sycamorespool
UNPACK_ROOT := /run/sycamorespool

$(VENV)/.ready: requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements.lock
	touch $@

test: lint check-tests

lint: $(VENV)/.ready
	$(BIN)/ruff format --check $(CODE)
	$(BIN)/ruff check $(CODE)
	$(BIN)/flake8 $(CODE)

format: $(VENV)/.ready
	$(BIN)/ruff format $(CODE)
	$(BIN)/ruff check --fix $(CODE)

check-tests: $(VENV)/.ready
	$(BIN)/python -m pytest

demo: $(VENV)/.ready
	$(BIN)/python examples/demo.py

bench: $(VENV)/.ready
	$(BIN)/python -m benchmarks

soak: $(VENV)/.ready
	SOAK=1 $(BIN)/python -m pytest tests/decisions
	$(BIN)/python -m benchmarks.hosted_soak --seeds 1-50 --steps 40

# setuptools would package deleted modules that are left in its old build
# folders.
binary: $(VENV)/.ready
	rm -rf build/lib build/bdist.* src/*.egg-info
	$(BIN)/shiv --quiet --compressed --reproducible --console-script sycamorespool \
		--python '/usr/bin/env python3' --root $(UNPACK_ROOT) \
		--output-file $(BINARY) --constraint requirements.lock .
	rm -rf build/lib build/bdist.* src/*.egg-info

binary-check: binary
	$(BIN)/python -m benchmarks.binary

clean:
	rm -rf build .pytest_cache .ruff_cache .hypothesis
