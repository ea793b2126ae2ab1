#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases 11 to 15 into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/stand3
