#!/bin/bash
# Starts the system and its stand-ins; ends with 1 if an acknowledged commit was lost, 0 if none was, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
test -f target/dillfront.jar && test -f target/review-2/review2/KilledDataPlane.class || exit 2
exec java -Xmx300m -cp target/review-2 review2.KilledDataPlane review/6
