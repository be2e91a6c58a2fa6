.PHONY: build test check format

build:
	go build -o bin/ ./cmd/...

test:
	go test ./...

check:
	bash .ci/run

format:
	git ls-files '*.go' | xargs go tool gofumpt -w
