#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
number=${folder##*/}
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout --foreground -k 2 115 "$root/build-review/case-$number" "$root" "$folder" "$temporary"
code=$?
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
