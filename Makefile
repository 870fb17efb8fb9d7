# What a developer runs. `make test` is also what CI runs.

GO ?= go

.PHONY: test check build bench speed

test: check
	$(GO) test -count=1 ./...

check:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

build:
	$(GO) build -o bin/ ./cmd/...

# What the fleet adds to a call, across processes. Under two minutes.
speed:
	$(GO) test -run '^$$' -bench . -benchtime 1x ./bench/speed

# Speeds and policies, measured. Not part of the tests: the figures vary. Only
# the policy benchmark, in three minutes: make bench BENCH=Policy PKG=./bench/policy
BENCH ?= .
PKG ?= ./...
bench:
	$(GO) test -run '^$$' -bench '$(BENCH)' -benchmem $(PKG)
