#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
exec bash "$here/../support-2/run-case.sh" "$here"
