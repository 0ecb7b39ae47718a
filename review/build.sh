#!/usr/bin/env bash
# Builds the stand-ins and the runner of the cases, after the build command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review/ ./review/tool
