#!/bin/sh
# Builds the stand-ins that the scripts of the cases 11 to 15 start.
cd "$(dirname "$0")/.." && exec go build -ldflags=-linkmode=external -o target/kit3 ./review/kit3
