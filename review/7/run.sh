#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
# Hundreds of connections stand in this one process; only its own limit of descriptors is raised.
[ "$(ulimit -n)" = unlimited ] || [ "$(ulimit -n)" -ge 4096 ] || ulimit -n 4096 || exit 2
[ -x target/review-2/review-2 ] || { echo "run review/build-2.sh first"; exit 2; }
exec target/review-2/review-2 half-requests "$folder"
