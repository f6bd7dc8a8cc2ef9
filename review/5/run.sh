#!/bin/sh
# Plays the case and writes record.txt beside this file. TROUBLE=0 leaves out the
# disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/savorystep ] && [ -x target/review-standin ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-standin -case poison -trouble=$trouble -record review/5/record.txt -binary target/savorystep
