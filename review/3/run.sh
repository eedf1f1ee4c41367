#!/bin/sh
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x review/bin/rig ] && [ -x bin/gateway ] || { echo "build first: the deploy file's build line, then review/build.sh" >&2; exit 2; }
exec review/bin/rig settings "$here/record.txt"
