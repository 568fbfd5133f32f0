#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/, beside the program of the deploy file.
set -eu
cd "$(dirname "$0")/stand3"
GOWORK=off go build -o ../../target/stand3 .
