# The developer's door. Each target works without an activated environment.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
EXAMPLE ?= cordillera

.PHONY: help install test lint format demo play bench soak generate clean

help:
	@echo "make demo [EXAMPLE=cordillera|kivimagi]  run the whole system on loopback"
	@echo "make play [EXAMPLE=...]                  run it until interrupted"
	@echo "make test                                run all tests"
	@echo "make lint | format                       check or fix formatting"
	@echo "make bench                               run every measurement"
	@echo "make soak                                play 50 seeds of faults, 10 of each other play"
	@echo "make generate                            regenerate the settings models"

$(VENV)/.installed: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

install: $(VENV)/.installed

test: install
	$(BIN)/python -m tests

lint: install
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: install
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

demo: install
	$(BIN)/python -m extras.demo --example examples/$(EXAMPLE)

play: install
	$(BIN)/python -m extras.play --example examples/$(EXAMPLE)

bench: install
	$(BIN)/python -m bench

soak: install
	$(BIN)/python -m extras.soak --seeds 1-50 --logs soak-logs
	$(BIN)/python -m extras.soak.partitions --seeds 1-10 --logs soak-logs/partitions
	$(BIN)/python -m extras.soak.outdated_views --seeds 1-10 --logs soak-logs/outdated

generate: install
	PYTHON=$(BIN)/python extras/generate_settings.sh

clean:
	rm -rf $(VENV) bench/results
