VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.stamp

.PHONY: setup demo test check format gen pages bench-settings matrix clean

setup: $(STAMP)

$(STAMP): pyproject.toml requirements.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: setup
	$(VENV)/bin/clementinegw demo

test: setup
	$(PY) -m pytest -n 10 --dist worksteal

check: setup
	$(VENV)/bin/ruff format --check src tests platform
	$(VENV)/bin/ruff check src tests platform
	$(VENV)/bin/mypy

format: setup
	$(VENV)/bin/ruff format src tests platform
	$(VENV)/bin/ruff check --fix src tests platform

# Members over six host processes and the log in a seventh: the shell starts
# them, since a process starts no other.
bench-settings: setup
	for host in 1 2 3 4 5 6 7; do $(VENV)/bin/clementinegw bench host & done; \
	$(VENV)/bin/clementinegw bench settings --hosts=6 --json; wait

# Every fault at every step on ten host processes.
matrix: setup
	for host in 1 2 3 4 5 6 7 8 9 10; do \
	  $(VENV)/bin/clementinegw bench host & done; \
	$(VENV)/bin/clementinegw matrix --one_in=1 --pairs=80 --hosts=10; \
	status=$$?; wait; exit $$status

# Only needed when a .thrift file changes; the generated code is committed.
gen:
	for f in src/clementinegw/wire/*.thrift; do \
	  thrift --gen py:slots,enum,package_prefix=clementinegw.wire.gen. \
	    -out src/clementinegw/wire/gen $$f; done
	rm -f src/clementinegw/wire/gen/*/*-remote

# The pages that are written from the code.
pages: setup
	$(PY) -m clementinegw.telemetry.catalogue > docs/events.md
	$(PY) -m clementinegw.settings.page > docs/settings.md

clean:
	rm -rf $(VENV) build dist
