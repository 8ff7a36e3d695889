#!/bin/sh
# Builds the stand-ins of the review's scripts, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standins ./review/standins
