#!/usr/bin/env bash
# Runs one case: run-case.sh FOLDER CLASS. Exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 in the environment leaves the disruption out.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.." || exit 2
[ -d review/target/standins ] || { echo "review/build.sh has not been run"; exit 2; }
[ -f daemon/target/grebehoist.jar ] || { echo "the build of deploy/balancer.toml has not been run"; exit 2; }
timeout -k 5 115 java -Djava.net.preferIPv4Stack=true -Xmx512m -cp review/target/standins "$2" "$folder/record.txt"
# The play's own codes; anything else, a time limit or a runtime that does not start included, means that the case could not run.
case $? in
  40) exit 0 ;;
  41) exit 1 ;;
  *) exit 2 ;;
esac
