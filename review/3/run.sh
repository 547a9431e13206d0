#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not be played. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/dillfront.jar ] || { echo "target/dillfront.jar is missing: build first"; exit 2; }
sh review/build.sh || exit 2
exec java -Xmx128m -cp target/review review.StaleRead review/3/record.txt
