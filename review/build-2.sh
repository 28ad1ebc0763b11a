#!/bin/sh
# Builds the program that plays the scripted cases 6 to 10, with its store, workers and clients. Run it after the build of
# the deploy file.
set -e
cd "$(dirname "$0")/standin-2"
go build -o ../../target/review-case-2 .
