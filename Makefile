# Builds, runs and checks decklever. `make` alone lists the targets.

GO ?= go
BIN := bin
TOOLS := $(BIN)/tools
FUZZ_TIME ?= 10s
# Attempts to minimize each interesting input; without a limit, large inputs stall.
FUZZ_MINIMIZE ?= 5x
BENCH ?= .

.DEFAULT_GOAL := help

.PHONY: help
help: ## list the targets
	@awk -F ':.*## ' '/^[a-z-]+:.*## /{printf "%-13s %s\n", $$1, $$2}' $(MAKEFILE_LIST)

.PHONY: build
build: ## build every program into bin/
	@mkdir -p $(BIN)
	$(GO) build -trimpath -o $(BIN)/ ./cmd/...

.PHONY: run
run: build ## run a fleet under load for a minute and check the promises
	rm -rf out/steady
	$(BIN)/decklever-testbed run --deployment restrepo --scenario steady --duration 60s --seed 1 --out out/steady

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

# The benchmarks that versions are compared by: placement, heartbeat, task cycle,
# timers, apply, encode, agreement, disk. BENCHSTAT is pinned here and not in
# tools/go.mod, since its requirements cannot be resolved together with those of
# the linters.
COMPARED := ^Benchmark(PlanFleet|Heartbeat|HeartbeatCall|HeartbeatCodec|HeartbeatServed|TaskCycle|Tick|ApplySubmitPlaceClose|Capture|Encode|Decode|ProposeCommit|Step|DiskSave)$$
COMPARED_PACKAGES := ./internal/placement ./internal/scheduler ./internal/rpc ./internal/record ./internal/raft ./internal/storage
BENCHSTAT := golang.org/x/perf/cmd/benchstat@v0.0.0-20260908200009-22c9c6c9d4da
ROUNDS ?= 6

# Runs old and new alternately, so that other load on the machine affects both.
# CONTRIBUTING.md says how to prepare the tree of an older version.
.PHONY: bench-compare
bench-compare: ## compare benchmarks with the sources in OLD, in ROUNDS (6)
	@test -d "$(OLD)/internal" || { echo "OLD must name a folder with the sources of the older version"; exit 2; }
	@rm -rf out/bench && mkdir -p out/bench
	@set -e; for round in $$(seq $(ROUNDS)); do for side in old new; do \
		tree=.; if [ $$side = old ]; then tree="$(OLD)"; fi; \
		echo "round $$round of $(ROUNDS), $$side"; \
		(cd "$$tree" && $(GO) test -run '^$$' -bench '$(COMPARED)' -benchmem $(COMPARED_PACKAGES)) >>out/bench/$$side.txt; \
	done; done
	$(GO) run $(BENCHSTAT) out/bench/old.txt out/bench/new.txt

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
