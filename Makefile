PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SOABI := $(shell $(PYTHON) -c 'import sysconfig; print(sysconfig.get_config_var("SOABI"))')
# The stamp names the Python and the architecture that the installed packages are for.
READY := $(VENV)/.ready-$(SOABI)

.PHONY: test lint demo bench model soak slopes
test: $(READY)
	$(BIN)/python -m pytest $(PASS_OVER)

lint: $(READY)
	$(BIN)/black --check --quiet src tests bench model
	$(BIN)/ruff check src tests bench model
	$(BIN)/mypy

demo: $(READY)
	$(BIN)/python -m bench.process.demo

bench: $(READY)
	$(BIN)/python -m bench.process.bench $(ARGS)

model: $(READY)
	$(BIN)/python -m model

SECONDS_ ?= $(or $(SECONDS),60)
SEED ?= 1
soak: $(READY)
	MASTICGATE_SOAK_SECONDS=$(SECONDS_) MASTICGATE_SOAK_SEED=$(SEED) $(BIN)/python -m pytest tests -m soak

slopes: $(READY)
	$(BIN)/python -m bench.process.slopes

$(READY): requirements.lock pyproject.toml
	$(PYTHON) -m venv --clear $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(READY)
