#!/bin/sh
# Plays this case once. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bilberrymux ] && [ -x target/review/harness ] || exit 2
exec target/review/harness kills target/bilberrymux review/2/record.txt
