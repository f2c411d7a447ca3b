# Build, test, lint and run calicohill.

.PHONY: build test race lint fuzz run

build: ## both programs, as the platform builds them
	mkdir -p bin && go build -buildvcs=false -o bin/ ./cmd/...

test: ## all tests; those of the program start it as a process
	go test -count=1 ./...

race: ## the same under the race detector
	go test -count=1 -race ./...

lint: ## formatting, vet, and the staticcheck that go.mod pins
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted" >&2; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

fuzz: ## each parser for a while
	for p in fastcgi agent bulletin; do go test -run '^$$' -fuzz FuzzParse -fuzztime 30s ./internal/$$p || exit 1; done

run: build ## the example: a toy bulletin and agent, and a scheduler in front of them
	go build -buildvcs=false -o bin/toy ./example
	bin/toy & toy=$$!; trap "kill $$toy" EXIT; bin/calicohill -config example/config.json
