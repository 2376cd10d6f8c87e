#!/bin/sh
# Builds the stand-ins that the scripts of this review start, into target/. They are a module
# of their own without dependencies, so that the build, the linters and the tests of the
# repository leave them out. It needs no network.
set -e
cd "$(dirname "$0")/harness"
GOFLAGS=-mod=mod GOWORK=off go build -trimpath -o ../../target/review-harness .
