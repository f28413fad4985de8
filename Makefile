# Targets: run (the main job on the embedded default), test (all checks), bench,
# platform-bench (the users' quick days), soak (faults on real processes),
# experiments (figures of docs/MEASUREMENTS.md), generate (needs protoc).
export CGO_ENABLED = 1
GOBIN := $(CURDIR)/bin
GO := go
VERSION := $(shell git describe --always --dirty 2>/dev/null || echo development)
LDFLAGS := -X bilberrymux/io/daemon.Build=$(VERSION)

.PHONY: run test build tools gopls format lint vet unit soak fuzz bench platform-bench generate clean

run: build
	$(GOBIN)/standin demo --seconds 15

build:
	$(GO) build -ldflags "$(LDFLAGS)" -o $(GOBIN)/ ./cmd/...

# The versions of the tools are pinned, so that the verdict stays the same.
tools:
	@test -x $(GOBIN)/gofumpt || GOBIN=$(GOBIN) $(GO) install mvdan.cc/gofumpt@v0.12.0
	@test -x $(GOBIN)/revive || GOBIN=$(GOBIN) $(GO) install github.com/mgechev/revive@v1.9.0

# gopls renames identifiers with all their uses; checks don't need it.
gopls:
	@test -x $(GOBIN)/gopls || GOBIN=$(GOBIN) $(GO) install golang.org/x/tools/gopls@v0.23.0

format: tools
	@bad=$$($(GOBIN)/gofumpt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$')); \
	if [ -n "$$bad" ]; then echo "not formatted by gofumpt:"; echo "$$bad"; exit 1; fi

lint: tools
	$(GOBIN)/revive -config revive.toml -formatter friendly -exclude ./io/peer/peerpb/... ./...

vet:
	$(GO) vet ./...

# Tests that KNOWN-RED.txt names are passed over; .ci/run prints them.
# A name may be that of a subtest: Test/sub.
RED := $(shell sed -n 's/^test: \(.*\)/^\1$$/; s,/,$$/^,; /^^/p' KNOWN-RED.txt 2>/dev/null | paste -sd '|')
unit:
	$(GO) test -race -timeout 20m $(if $(RED),-skip '$(RED)') ./...

test: format lint vet unit soak

# A short seeded run of the fault soak; docs/SOAK.md tells of longer ones.
soak: build
	$(GOBIN)/soak --binary $(GOBIN)/bilberrymux --seed 1 --daemons 2 --callers 4 --length 5s --tail 0s

# Plays the users' quick days where their bench is at hand.
KIT := ../given/kit/more/system
platform-bench:
	@if [ ! -x $(KIT)/bin/fleetbench ]; then echo "the users' bench is not at hand ($(KIT)): nothing played"; exit 0; fi; \
	for site in kalinis-mux kirjapiiri-gw; do $(KIT)/bin/fleetbench score $(KIT)/sites/$$site.toml --quick --why "make platform-bench" || exit 1; done

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

generate:
	cd io/peer/peerpb && protoc --go_out=. --go_opt=paths=source_relative \
		--go-drpc_out=. --go-drpc_opt=paths=source_relative peer.proto

clean:
	rm -rf bin out
