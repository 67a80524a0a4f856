#!/bin/sh
# Plays the case (see claim.txt) with the node that the deploy file builds and the stand-ins that
# review/build-2.sh builds. Exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
root="$(cd "$folder/../.." && pwd)" || exit 2
for program in target/release/hawthornladder target/review-2/cases; do
    [ -x "$root/$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec "$root/target/review-2/cases" cut-off "$folder" "$root"
