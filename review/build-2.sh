#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/harness-2
