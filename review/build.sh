#!/bin/sh
# Builds the stand-ins of the scripts into target/review. They need the standard library only.
cd "$(dirname "$0")/rig" || exit 2
GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review/rig .
