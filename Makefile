.PHONY: build test check format review rename-tool

build:
	go build -o bin/ ./cmd/...

test:
	go test ./...

check:
	bash .ci/run

# Runs the cases of the independent review; see review/all.sh.
review:
	bash review/all.sh

format:
	git ls-files '*.go' | xargs go tool gofumpt -w

# Renames an identifier with all its uses: bin/gopls rename -w FILE:LINE:COLUMN NAME
rename-tool:
	GOBIN=$(CURDIR)/bin go install golang.org/x/tools/gopls@v0.23.0
