PYTHON := .venv/bin/python

.PHONY: build dev test lint check run demo

build:
	test -x $(PYTHON) || python3 -m venv .venv
	$(PYTHON) -m pip -q install -r requirements.txt

dev: build
	$(PYTHON) -m pip -q install -e '.[dev]'

test: dev
	$(PYTHON) -m pytest -q

lint: dev
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy

check:
	bash .ci/run

demo: dev
	$(PYTHON) -m pointgw demo

run: build
	exec $(PYTHON) -O -m pointgw
