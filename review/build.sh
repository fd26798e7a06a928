#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs into review/bin/. Needs what
# the build of the deploy file needs, and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
flags=(-std=c++20 -O1 -g1 -Wall -Wextra -Wno-missing-field-initializers -I. -DBOOST_LOG_DYN_LINK -pthread)
shared=(review/lab/lab.cc core/base/address.cc core/base/clock.cc core/base/random.cc
  core/http/http_connection.cc core/http/http_message.cc core/http/http_server.cc
  core/net/listening.cc platform/base64.cc)
pids=()
for it in "${shared[@]}"; do
  g++ "${flags[@]}" -c "$it" -o "review/bin/$(basename "$it" .cc).o" &
  pids+=($!)
done
for it in review/[1-5]/case.cc; do
  n=$(basename "$(dirname "$it")")
  g++ "${flags[@]}" -c "$it" -o "review/bin/case_$n.o" &
  pids+=($!)
done
for it in "${pids[@]}"; do
  wait "$it"
done
objects=()
for it in "${shared[@]}"; do
  objects+=("review/bin/$(basename "$it" .cc).o")
done
for it in review/[1-5]/case.cc; do
  n=$(basename "$(dirname "$it")")
  g++ "review/bin/case_$n.o" "${objects[@]}" -o "review/bin/case_$n" -pthread -lboost_json
done
