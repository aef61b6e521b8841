#!/bin/bash
# Plays case 3: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/edge-node ] || [ ! -x review/bin/standin ]; then
	echo "run the build of deploy/balancer.toml and review/build.sh first" >&2
	exit 2
fi
exec review/bin/standin 3 review/3/record.txt
