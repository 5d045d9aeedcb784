# Everything runs in a virtual environment of this folder, which is made, pinned, from requirements-dev.txt.
# VENV=... names another one, as the check on a clean machine does.
PYTHON ?= python3
VENV ?= .venv-dev
BIN := $(VENV)/bin
# Tests write many small files; on a slow disk each rename holds a process up for longer than what they measure.
FILES := $(shell test -w /dev/shm && echo /dev/shm || echo $${TMPDIR:-/tmp})

.PHONY: local test lint platform protos bench soak schema clean

$(VENV)/.made: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip -q install -r requirements-dev.txt
	$(BIN)/pip -q install --no-deps -e .
	touch $@

# A whole deployment on this machine, until Ctrl-C. ARGS="--gateways 20 --seconds 20 --kill 10" and so on.
local: $(VENV)/.made
	$(BIN)/lynxreel local $(ARGS)

# All tests; with ARGS, those that it names. Tests that start a dozen gateways come last and alone.
PYTEST := TMPDIR="$(FILES)" PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/python -m pytest -p no:cacheprovider -rxX

test: lint platform
	$(PYTEST) $(if $(ARGS),$(ARGS),-m "not whole_machine")
	$(if $(ARGS),,$(PYTEST) -o addopts="-q" -m whole_machine)

lint: $(VENV)/.made
	$(BIN)/ruff check mothgap lynxreel tests bench
	$(BIN)/ruff format --check mothgap lynxreel tests bench
	$(BIN)/mypy

# The messages of etcd's interface, after a change of rpc.proto.
protos: $(VENV)/.made
	$(BIN)/python -m grpc_tools.protoc -I . --python_out=. --pyi_out=. lynxreel/etcd/rpc.proto

# The deploy file's own commands: its build, which the tests start `run` from, and an empty batch for `sim`.
platform: $(VENV)/.made
	$(BIN)/python -m tests.platform_build

bench: $(VENV)/.made
	$(BIN)/python -m bench $(ARGS)

# Drawn shutdowns over real processes, judged by the terms; ARGS="--seeds 1-200 --jobs 3". docs/soak.md.
soak: platform
	$(BIN)/python -m tests.soak $(ARGS)

# The HTTP front under a schema-driven tester, which wants other versions of what the gateway uses.
.venv-schema/.made: bench/schema-tester.txt
	$(PYTHON) -m venv .venv-schema
	.venv-schema/bin/pip -q install -r bench/schema-tester.txt
	touch $@

schema: $(VENV)/.made .venv-schema/.made
	$(BIN)/python -m bench http_schema $(ARGS)

clean:
	rm -rf $(VENV) .venv .venv-schema .mypy_cache .ruff_cache
