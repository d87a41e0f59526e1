# SPDX-License-Identifier: Apache-2.0

PROGRAMS = cairnwick cairn-gateway cairn-scheduler cairnctl cairn-demo cairn-measure standin-engine standin-platform standin-proxy standin-service

STATICCHECK = honnef.co/go/tools/cmd/staticcheck@v0.8.2
REVIVE = github.com/mgechev/revive@v1.17.0
# Tests that are red for a known cause: the names before the first colon of each line, as patterns; a part
# of a test follows its name after a slash.
KNOWN_RED = $(shell test -f KNOWN-RED.txt && cut -d: -f1 KNOWN-RED.txt | sed 's|/|$$/^|g; s|^|^|; s|$$|$$|' | paste -sd'|')
SOURCES = $(shell git ls-files '*.go' | grep -v '\.pb\.go$$')

.PHONY: all build demo test lint bench capacity reference generate clean

all: build

build:
	mkdir -p bin
	go build -o bin/ $(addprefix ./cmd/,$(PROGRAMS))

demo: build
	bin/cairn-demo --bin bin

test: build
	go test -count=1 -parallel 4 $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') work

lint:
	@test -z "$$(gofmt -l $(SOURCES))" || { echo "run gofmt on:"; gofmt -l $(SOURCES); exit 1; }
	go vet work
	go run $(STATICCHECK) work
	go run $(REVIVE) -config revive.toml -exclude ./wire/... ./...

# Needs protoc, protoc-gen-go and protoc-gen-go-grpc.
generate:
	cd wire && protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative wire.proto share.proto

clean:
	rm -rf bin

bench: build
	bin/cairn-measure path

capacity: build
	bin/cairn-measure capacity

# Writes the page of settings anew.
reference: build
	{ echo "# Settings"; echo; echo "Written by make reference from the daemons' own tables. Settings are JSON with comments;"; \
	  echo "\`--set NAME=VALUE\` on the command line wins over the file."; echo; \
	  echo "## cairn-gateway"; echo; bin/cairn-gateway --reference; echo; \
	  echo "## cairn-scheduler"; echo; bin/cairn-scheduler --reference; } > docs/SETTINGS.md
