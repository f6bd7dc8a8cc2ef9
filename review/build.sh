#!/bin/sh
# Builds the stand-in that the scripts of the cases start. The program of the deploy file
# has to be built before.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin
