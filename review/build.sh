#!/bin/sh
# Builds the stand-ins that the scripts start, into target/. It needs Go and nothing else: the
# stand-ins use the standard library only.
set -eu
cd "$(dirname "$0")/standin"
go build -trimpath -o ../../target/review-standin .
