#!/usr/bin/env bash
# Runs the case in the folder given: starts its driver, which starts the node with `run` of the deploy file.
set -u
here=$1
root=$(cd "$here/../.." && pwd)
name=$(basename "$here")
driver="$root/build-review-2/case-$name"
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
[ -x "$driver" ] || { echo "could not run: review/build-2.sh has not built the driver"; exit 2; }
[ -n "$run" ] || { echo "could not run: no 'run' in the deploy file"; exit 2; }
folder=$(mktemp -d) || exit 2
CASE_ROOT="$root" CASE_RUN="$run" CASE_FOLDER="$folder" CASE_RECORD="$here/record.txt" \
  timeout -s KILL 115 "$driver"
code=$?
{ echo "--- log of the node"; cat "$folder"/*.log 2>/dev/null; } | head -n 200 >> "$here/record.txt"
rm -rf "$folder"
case $code in 0|1|2) exit $code ;; *) echo "could not run: the driver ended with $code"; exit 2 ;; esac
