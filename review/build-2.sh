#!/bin/sh
# Builds the stand-ins of the scripts of the second review.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./review/rig-2
