#!/bin/sh
# Builds the stand-ins of the script cases of review 2 into target/.
set -eu
cd "$(dirname "$0")/stand2"
go build -ldflags=-linkmode=external -o ../../target/stand2 .
