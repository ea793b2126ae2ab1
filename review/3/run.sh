#!/usr/bin/env bash
# Servers crash and start again under their id, and are cut off a little later.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-stand ] || exit 2
exec target/review-stand --record review/3/record.txt reborn
