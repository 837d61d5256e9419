#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 lets no engine crash or fail requests.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/drumpath ] && [ -x target/review-bed ] || exit 2
trouble=true
[ "$TROUBLE" = 0 ] && trouble=false
exec target/review-bed -case grey -record "$here/record.txt" -trouble=$trouble
