#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without
# the kill of all daemons.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/forgotten_crashes
[ -x target/bin/verbenahold-serve ] && [ -x "$program" ] || exit 2
exec "$program" review/9/record.txt
