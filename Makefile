# `make rehearse` and `make test` on a fresh machine: the venv is made once, and anew when what it needs changes.
VENV ?= .venv-dev
BIN := $(VENV)/bin
SCENARIO ?= wedding-weekend

.PHONY: test rehearse clean

$(VENV)/installed: pyproject.toml requirements.txt
	python3 -m venv --clear $(VENV)
	$(BIN)/pip install -q -e '.[dev]'
	touch $@

rehearse: $(VENV)/installed
	$(BIN)/fawnseam rehearse $(SCENARIO)

test: $(VENV)/installed
	$(BIN)/ruff check cypresspulley tests benchmarks
	$(BIN)/ruff format --check cypresspulley tests benchmarks
	$(BIN)/mypy
	$(BIN)/python -m pytest

clean:
	rm -rf $(VENV)
