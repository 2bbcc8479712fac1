#!/usr/bin/env bash
# Runs the case of claim.txt: 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
[ -x ../build/case-5 ] || { echo "run review/build.sh first" >&2; exit 2; }
exec ../build/case-5 "$(cd ../.. && pwd)" record.txt
