#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the
# disruption out. Writes record.txt beside this file.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review-3/cases ] || exit 2
exec target/review-3/cases burst "$folder"
