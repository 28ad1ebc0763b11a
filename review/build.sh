#!/bin/sh
# Builds the program that plays the scripted cases, as a test binary. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/standin"
go test -c -o ../../target/review-case .
