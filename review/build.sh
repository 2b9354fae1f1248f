#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/harness ./review/harness
