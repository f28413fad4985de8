#!/bin/sh
# Plays the case after review/build-2.sh; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/bilberrymux target/standins-2; do
	[ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec target/standins-2 moves review/10/record.txt
