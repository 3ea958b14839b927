#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/slow_feed ] && [ -x target/release/sablecross-director ] || { echo "not built" >&2; exit 2; }
exec review/bin/slow_feed review/3/record.txt
