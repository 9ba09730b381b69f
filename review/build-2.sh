#!/bin/sh
# Builds the stand-ins of the scripts of the second review into target/review. They need the standard library only.
cd "$(dirname "$0")/rig-2" || exit 2
GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review/rig-2 .
