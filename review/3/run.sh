#!/bin/sh
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the
# disruption out.
folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
standin="$root/target/review/review-standin"
if [ ! -x "$standin" ] || [ ! -x "$root/target/release/savorywalk" ]; then
    echo "build the deploy file's program and run review/build.sh first"
    exit 2
fi
exec "$standin" empty-tenants "$root" "$folder"
