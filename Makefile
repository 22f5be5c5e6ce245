# `make rehearse` and `make test` on a fresh machine: the venv is made once, and anew when what it needs changes.
VENV ?= .venv-dev
BIN := $(VENV)/bin
SCENARIO ?= wedding-weekend
# Processes that share the tests: one for each processor, 5 at most, since many tests start limiters of their own and
# hold them to times.
WORKERS ?= logical

.PHONY: test checks tests rehearse clean

$(VENV)/installed: pyproject.toml requirements.txt
	python3 -m venv --clear $(VENV)
	$(BIN)/pip install -q -e '.[dev]'
	touch $@

rehearse: $(VENV)/installed
	$(BIN)/fawnseam rehearse $(SCENARIO)

# The linter and the type checker stand beside the tests and say all at once what they found; one that fails, fails all.
test: $(VENV)/installed
	@$(MAKE) --no-print-directory -j2 tests checks

tests: $(VENV)/installed
	@$(BIN)/python -m pytest -n $(WORKERS) --maxprocesses 5 --dist loadgroup

checks: $(VENV)/installed
	@said=$$({ $(BIN)/ruff check cypresspulley tests benchmarks && \
		$(BIN)/ruff format --check cypresspulley tests benchmarks && $(BIN)/mypy; } 2>&1); \
		failed=$$?; printf '\n%s\n' "$$said"; exit $$failed

clean:
	rm -rf $(VENV)
