PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
# Processes that run tests at the same time.
LANES ?= 4

.PHONY: demo test format bench prove slopes proto soak

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -qq --disable-pip-version-check -e '.[dev,bench]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/guavamast demo
	$(BIN)/python -m guavamast.platform.demo

test: $(STAMP)
	$(BIN)/black --check --quiet src tests bench tools soak
	$(BIN)/ruff check --quiet src tests bench tools soak
	$(BIN)/python -m tools.run_tests --lanes $(LANES) --slowest 20

format: $(STAMP)
	$(BIN)/black --quiet src tests bench tools soak
	$(BIN)/ruff check --quiet --fix src tests bench tools soak

bench: $(STAMP)
	$(BIN)/python -m bench

prove: $(STAMP)
	GUAVAMAST_EXAMPLES=5000 $(BIN)/python -m tools.run_tests --property-only

# Fifty seeds of the fault soak; SEEDS=101-110 for others.
soak: $(STAMP)
	$(BIN)/python -m soak --seeds $(or $(SEEDS),1-50)

slopes: $(STAMP)
	$(BIN)/python -m bench.slopes

# Needs grpcio-tools, which the product itself does not.
proto:
	$(BIN)/python -m grpc_tools.protoc -Isrc --python_out=src --grpclib_python_out=src \
		--plugin=protoc-gen-grpclib_python=$(BIN)/protoc-gen-grpclib_python \
		src/guavamast/peer.proto
