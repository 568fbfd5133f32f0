#!/usr/bin/env bash
# Builds the stand-ins of all scripts; they need no module beside the standard library.
set -euo pipefail
cd "$(dirname "$0")/stand"
go build -o ../bin/stand .
