#!/bin/sh
# Builds the program that plays the scripted cases 6 to 10, with its store, workers and clients, as a test binary. Run it after the build of
# the deploy file.
set -e
cd "$(dirname "$0")/standin-2"
go test -c -o ../../target/review-case-2 .
