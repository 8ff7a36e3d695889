#!/bin/sh
# Builds the stand-ins of the review's scripts, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -o target/review-standins ./review/standins
