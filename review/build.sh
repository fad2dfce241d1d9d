#!/bin/sh
# Builds the stand-ins of the cases. The daemon is built as deploy/system.toml says.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/_stand
