#!/usr/bin/env bash
# Orders, while servers shed a part of them and send a second answer late.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-stand ] || exit 2
exec target/review-stand --record review/1/record.txt late
