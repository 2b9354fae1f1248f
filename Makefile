GO ?= go
DEPLOYMENT ?= nitra

.PHONY: build test fmt lint unit demo bench

build:
	$(GO) build -o bin/ ./cmd/...

test: fmt lint build unit

fmt:
	@files=$$(gofmt -l .); if [ -n "$$files" ]; then echo "gofmt needed: $$files"; exit 1; fi

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

unit:
	GO=$(GO) bash scripts/unit.sh

demo: build
	bash scripts/demo.sh $(DEPLOYMENT)

bench: build
	bash scripts/bench.sh
