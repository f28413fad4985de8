#!/bin/sh
# Builds the stand-ins of the cases: one program that holds the store, the backend servers, the
# clients and the check of each case.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/harness ./review/harness
