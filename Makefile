# Builds, runs and checks decklever. `make` alone lists the targets.

GO ?= go
BIN := bin
TOOLS := $(BIN)/tools
FUZZ_TIME ?= 10s
# Tries to shorten each input of interest; unbounded, it stalls large ones.
FUZZ_MINIMIZE ?= 5x
BENCH ?= .

.DEFAULT_GOAL := help

.PHONY: help
help: ## list the targets
	@awk -F ':.*## ' '/^[a-z-]+:.*## /{printf "%-12s %s\n", $$1, $$2}' $(MAKEFILE_LIST)

.PHONY: build
build: ## build every program into bin/
	@mkdir -p $(BIN)
	$(GO) build -trimpath -o $(BIN)/ ./cmd/...

.PHONY: run
run: build ## run a whole fleet for a minute and check the promises
	rm -rf out/steady
	$(BIN)/decklever-lab run --deployment restrepo --scenario steady --duration 60s --seed 1 --out out/steady

.PHONY: test
test: ## run all tests
	$(GO) test -count=1 -timeout 8m ./...

.PHONY: race
race: ## run all tests with the race detector
	$(GO) test -race -count=1 -timeout 20m ./...

.PHONY: tools
tools: ## build golangci-lint and gofumpt into bin/tools/
	@mkdir -p $(TOOLS)
	cd tools && $(GO) build -o ../$(TOOLS)/ tool

.PHONY: lint
lint: tools ## run the linters and go vet
	$(TOOLS)/golangci-lint run ./...
	$(GO) vet ./...

.PHONY: fmt
fmt: tools ## format all Go files
	$(TOOLS)/gofumpt -w .

.PHONY: fmt-check
fmt-check: tools ## fail if a Go file is not formatted
	@unformatted="$$($(TOOLS)/gofumpt -l .)"; \
	if [ -n "$$unformatted" ]; then echo "not formatted (make fmt):"; echo "$$unformatted"; exit 1; fi

.PHONY: bench
bench: ## run the benchmarks; BENCH=NAME picks some
	$(GO) test -run '^$$' -bench '$(BENCH)' -benchmem ./...

# go test fuzzes one target of one package at a time.
.PHONY: fuzz-short
fuzz-short: ## run each fuzz target for FUZZ_TIME (10s)
	@set -e; for package in $$($(GO) list ./...); do \
		for target in $$($(GO) test -list '^Fuzz' $$package | grep '^Fuzz' || true); do \
			echo "fuzz $$package $$target"; \
			$(GO) test -run '^$$' -fuzz "^$$target\$$" -fuzztime $(FUZZ_TIME) -fuzzminimizetime $(FUZZ_MINIMIZE) $$package; \
		done; \
	done

.PHONY: clean
clean: ## remove what was built and written
	rm -rf $(BIN) out
