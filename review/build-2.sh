#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/standins-2 ./review/standins-2
