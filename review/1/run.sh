#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
number=$(basename "$(dirname "$0")")
[ -x "target/review/case-$number" ] && [ -x target/release/ggt-node ] || exit 2
dir=$(mktemp -d) || exit 2
"target/review/case-$number" "$dir" "review/$number/record.txt"
code=$?
rm -rf "$dir"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
