#!/bin/sh
# Runs one of the deployments in this folder on the acceptance bench: deploy/sites/play.sh NAME [ARGUMENTS OF score],
# for example deploy/sites/play.sh paro-ledger --panel brink --seed 1 --why "...". The bench requires some of its own files
# in the folder of the deployment; they are copied there only for the run, and git ignores them.
set -eu
cd "$(dirname "$0")/../.."
kit=../given/kit/more/mass
name=$1
shift
for f in real.json wire.json unlock.txt; do
    cp "$kit/other/$f" deploy/sites/
done
trap 'rm -f deploy/sites/real.json deploy/sites/wire.json deploy/sites/unlock.txt' EXIT
"$kit/bin/lbreal" score "deploy/sites/$name.toml" "$@"
