# Targets: run (the main job on the embedded default), test (all checks), bench,
# experiments (figures of docs/MEASUREMENTS.md), generate (needs protoc).
export CGO_ENABLED = 1
GOBIN := $(CURDIR)/bin
GO := go
VERSION := $(shell git describe --always --dirty 2>/dev/null || echo development)
LDFLAGS := -X bilberrymux/io/daemon.Build=$(VERSION)

.PHONY: run test build tools format lint vet unit fuzz bench generate clean

run: build
	$(GOBIN)/standin demo --seconds 15

build:
	$(GO) build -ldflags "$(LDFLAGS)" -o $(GOBIN)/ ./cmd/...

# The versions of the tools are pinned, so that the verdict stays the same.
tools:
	@test -x $(GOBIN)/gofumpt || GOBIN=$(GOBIN) $(GO) install mvdan.cc/gofumpt@v0.12.0
	@test -x $(GOBIN)/revive || GOBIN=$(GOBIN) $(GO) install github.com/mgechev/revive@v1.9.0

format: tools
	@bad=$$($(GOBIN)/gofumpt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$')); \
	if [ -n "$$bad" ]; then echo "not formatted by gofumpt:"; echo "$$bad"; exit 1; fi

lint: tools
	$(GOBIN)/revive -config revive.toml -formatter friendly -exclude ./io/peer/peerpb/... ./...

vet:
	$(GO) vet ./...

unit:
	$(GO) test -race -timeout 20m ./...

test: format lint vet unit

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

generate:
	cd io/peer/peerpb && protoc --go_out=. --go_opt=paths=source_relative \
		--go-drpc_out=. --go-drpc_opt=paths=source_relative peer.proto

clean:
	rm -rf bin out
