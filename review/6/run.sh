#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/stand2 ] && [ -x ../../target/mulberryhaven ] || { echo "build first: the deploy file, then review/build-2.sh"; exit 2; }
exec ../../target/stand2 losses ../.. record.txt
