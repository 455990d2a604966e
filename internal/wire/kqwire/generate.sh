#!/usr/bin/env bash
# Generates the messages and services. Needs protoc, protoc-gen-go and
# protoc-gen-connect-go; the build does not.
set -euo pipefail
cd "$(dirname "$0")"
protoc --go_out=. --go_opt=paths=source_relative \
  --connect-go_out=. --connect-go_opt=paths=source_relative,package_suffix= kumquatswitch.proto
# A blank line keeps the generator's note from being the package comment.
sed -i 's/^package kqwire$/\n&/' kumquatswitch.connect.go
