#!/usr/bin/env bash
# Builds the stand-ins and the player of the cases of the second review that are scripts,
# into bin/. The project's own program comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/probe-2 ./review/probe
