PYTHON := .venv/bin/python

.PHONY: build dev test lint check run demo

build:
	test -x $(PYTHON) || python3 -m venv .venv
	$(PYTHON) -m pip -q install -r requirements.txt

dev: build
	$(PYTHON) -m pip -q install -e '.[dev]'

# Fleets of processes run first and alone on the machine; the other tests mostly wait, so four run at a time.
test: dev
	$(PYTHON) -m pytest -q tests/fleet
	$(PYTHON) -m pytest -q -n 4 --dist loadfile --ignore tests/fleet

lint: dev
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy

check:
	bash .ci/run

demo: dev
	$(PYTHON) -m pointgw demo

run: build
	exec $(PYTHON) -O -m pointgw
