#!/bin/sh
# Plays one case; see claim.txt. After the build of deploy/balancer.toml and review/build-2.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/standins-2/build/SameId.class ] || { echo "review/build-2.sh has not been run"; exit 2; }
command -v java >/dev/null || exit 2
exec java -XX:+UseSerialGC -Xmx256m -cp review/standins-2/build SameId review/7
