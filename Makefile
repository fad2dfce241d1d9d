# Each target works alone on a new machine with Go and make.
LINT_VERSION = v2.15.0
TOOLS = bin/tools
LINT = $(TOOLS)/golangci-lint
# rapid's seed and count are fixed, so that the verdict of a test run is too.
CHECKS = -rapid.seed=20261204 -rapid.checks=300
MODELS = ./internal/once/arbiter ./internal/route/admitter ./internal/share/capper ./internal/share/divider ./internal/member/tracker ./internal/share/claimer

.PHONY: build test lint unit models process demo bench explore capacity docs clean

build:
	go build -o bin/ ./cmd/...

test: lint unit models process

lint: $(LINT)
	go vet ./...
	$(LINT) fmt --diff ./...
	$(LINT) run ./...

unit:
	go test -race -count=1 ./...

models:
	go test -count=1 $(MODELS) -run 'Model|Property' $(CHECKS)

process: build
	go test -count=1 -tags process ./internal/stand/...

demo: build
	./bin/waxwingstand demo

bench:
	go test -run '^$$' -bench . -benchmem -count=6 ./... | grep -v -e 'no test files' -e '^ok' -e '^PASS'

explore:
	go test -count=1 $(MODELS) -run 'Model|Property' -rapid.checks=20000

$(LINT):
	GOBIN=$(abspath $(TOOLS)) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

clean:
	rm -rf bin
