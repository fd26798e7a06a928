#!/usr/bin/env bash
# Freeze right after a start. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/review_fleet early-freeze review/8/record.txt
