#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
number=$(basename "$folder")
cd "$folder/../.." || exit 2
case ${TROUBLE:-1} in
0) TROUBLE=0 ;;
*) TROUBLE=1 ;;
esac
export TROUBLE
[ -x "target/review/case-$number" ] && [ -x target/release/ggt-node ] || exit 2
dir=$(mktemp -d) || exit 2
"target/review/case-$number" "$dir" "review/$number/record.txt"
code=$?
rm -rf "$dir"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
