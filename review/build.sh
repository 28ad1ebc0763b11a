#!/bin/sh
# Builds the program that plays the scripted cases. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod go build -buildvcs=false -o ../../target/review-case .
