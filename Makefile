# Development tasks. Targets install the dependencies that they need.
VENV := .venv
PY := $(VENV)/bin/python
LIBS := base wire ports native facts fleet weights rollout routing gateway renewal daemon cli
STAMP := $(VENV)/.installed
# What processes import; without bytecode, each process would compile it at its start.
RUN := libs platform/src deploy/start.py testing
CODE := .ci libs platform deploy tests testing bench misc
SEED ?= 1
ROUNDS ?= 5
MINUTES ?= 2

.PHONY: setup demo test lint bench load following slopes faults soak check clean

setup: $(STAMP)
	@$(PY) -m compileall -q $(RUN)

$(STAMP): requirements-dev.txt $(wildcard libs/*/pyproject.toml) platform/pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet -r requirements-dev.txt
	$(PY) -m pip install --quiet --no-build-isolation $(foreach l,$(LIBS),-e libs/$(l)) -e platform
	touch $(STAMP)

demo: setup
	@$(PY) -m testing.demo
	@$(PY) -m testing.machinedemo

test: setup
	$(PY) -m pytest

lint: setup
	$(PY) -m black --check --quiet $(CODE)
	$(PY) -m ruff check $(CODE)
	$(PY) -m mypy
	$(VENV)/bin/lint-imports

check: lint test

clean:
	rm -rf $(VENV)

# Only benchmarks need matplotlib.
BENCH_STAMP := $(VENV)/.bench-installed
$(BENCH_STAMP): $(STAMP) requirements-bench.txt
	$(PY) -m pip install --quiet -r requirements-bench.txt
	touch $(BENCH_STAMP)

bench: $(BENCH_STAMP)
	$(PY) -m bench.swarm

load: $(BENCH_STAMP)
	$(PY) -m bench.load

following: setup
	$(PY) -m bench.following

slopes: setup
	$(PY) -m bench.slopes

faults: setup
	@$(PY) -m bench.faults $(SEED) $(ROUNDS)

soak: setup
	@$(PY) -m bench.soak $(SEED) --minutes=$(MINUTES) $(SOAK_OPTIONS)
