#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/gateway ] && [ -x bin/review-rig2 ] || { echo "run the build of the deploy file and review/build-2.sh first" >&2; exit 2; }
exec bin/review-rig2 zones review/7
