#!/usr/bin/env bash
# Case 4, review/standins/SendAndGo.java: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run; TROUBLE=0 without the disruption.
exec "$(dirname "$0")/../run-case.sh" "$(dirname "$0")" SendAndGo
