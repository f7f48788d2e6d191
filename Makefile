PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1

.PHONY: install demo test format fuzz soak capacity bench clean

$(VENV)/.installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

install: $(VENV)/.installed

demo: install
	$(BIN)/python -m tillerlane.testing.demo

test: install
	$(BIN)/python -m tillerlane.testing.check

bench: install
	$(BIN)/python -m benchmarks.policies
	$(BIN)/python -m benchmarks.relay

capacity: install
	$(BIN)/python -m benchmarks.capacity

fuzz: install
	TILLERLANE_FUZZ=1 $(BIN)/python -m tillerlane.testing.check stateful messages

soak: install
	$(BIN)/python -m tillerlane.testing.soak
	$(BIN)/python -m tillerlane.testing.platform_soak --seeds 3 --seed $(SEED)

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) build out
