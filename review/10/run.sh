#!/bin/sh
# Case 10 of the second review. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/controld target/entryd target/review/rig-2; do
	[ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
exec target/review/rig-2 "late-withdrawal" . review/10/record.txt
