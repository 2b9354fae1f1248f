GO ?= go
DEPLOYMENT ?= nitra
SEED ?= 1
SEEDS ?= 1
LENGTH ?= 30s

TIME ?= 30s

.PHONY: build test fmt lint unit demo bench soak fuzz

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

# Runs the soak test with SEEDS consecutive seeds, starting with SEED. The logs of failed seeds are
# kept in run/soak.
soak:
	$(GO) test ./platform/soak -count=1 -timeout 2h -v -soak.seed=$(SEED) -soak.seeds=$(SEEDS) -soak.length=$(LENGTH) -soak.keep=$(CURDIR)/run/soak

# Searches for inputs that make a decoder fail, TIME for each target.
fuzz:
	GO=$(GO) bash scripts/fuzz.sh $(TIME)
