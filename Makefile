# Build, test, lint and run calicohill.

.PHONY: build known test race lint fuzz run serve generate

# Linked against the C library: the platform loads a library of its own into the scheduler.
export CGO_ENABLED = 1

build: ## all programs, as the platform builds them
	mkdir -p bin && go build -buildvcs=false -ldflags=-linkmode=external -o bin/ ./cmd/...

# Pinned by a module of its own, so that the linter's requirements stay out of the program's.
golangci = go tool -modfile=tools/go.mod golangci-lint

# The tests of the program run dozens of processes by the clock: they get the cores to themselves.
program = ./cmd/calicohill
packages = $$(go list ./... | grep -v '/cmd/calicohill$$')

# Tests that fail for a known cause, one a line: "NAME | cause | issue". They are left out here, and printed by `make known`.
known = $(shell cut -d '|' -f 1 KNOWN-RED.txt 2>/dev/null)
empty :=
skip = $(if $(known),-skip '^($(subst $(empty) $(empty),|,$(strip $(known))))$$')

known: ## prints the known failures
	@grep . KNOWN-RED.txt | sed 's/^/known failure, not run: /' || true

test: known ## all tests; those of the program start it as a process; the last finds mistakes that are built in on purpose
	go test -count=1 $(skip) $(packages)
	go test -count=1 $(skip) $(program)
	go test -count=1 -tags faults -run FaultsAreFound ./internal/fleet/quota

race: ## the same under the race detector
	go test -count=1 -race $(skip) $(packages)
	go test -count=1 -race $(skip) $(program)

lint: ## formatting, vet, the staticcheck that go.mod pins, and the linters of .golangci.yml, also over files behind build tags
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted" >&2; exit 1; fi
	go vet ./...
	go tool staticcheck ./...
	$(golangci) fmt --diff
	$(golangci) run
	$(golangci) run --build-tags faults,race

fuzz: ## each parser for a while
	for p in frontend/fastcgi nodeagent discovery config/operatorfile fleet/gossip fleet/faultreport snapshot; do go test -run '^$$' -fuzz Fuzz -fuzztime 30s ./internal/$$p || exit 1; done

run: build ## the example: a toy bulletin and agent, a scheduler in front of them, and a call that it serves
	@$(example); bin/calicohill call consulta --wait 10s --body hello

serve: build ## the same, left running
	@$(example); wait

generate: ## what is written from the table of the operator's file
	go run ./cmd/calicohill check --example >deploy/calicohill.conf
	go run ./cmd/calicohill check --page >docs/operators/settings.md

define example
go build -buildvcs=false -o bin/toy ./example && { \
	bin/toy & toy=$$!; bin/calicohill --config example/config.json & scheduler=$$!; \
	trap "kill $$toy $$scheduler" EXIT; }
endef
