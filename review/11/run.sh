#!/usr/bin/env bash
# Idle workers are cut off twice in a row, start again behind the first cut, and run on behind the second one.
# SEED chooses the traffic and the workers; TROUBLE=0 leaves them alone.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
program=target/bin/boragecroft_entryd
lab=build-review-3/bin/review_lab
[ -x "$program" ] && [ -x "$lab" ] || { echo "build the deploy file and run review/build-3.sh first"; exit 2; }
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 5 115 "$lab" restart "$program" "$here/record.txt" "$folder" "${SEED:-1}" "${TROUBLE:-1}"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
