#!/bin/bash
# Starts the system and its stand-ins; ends with 1 if two data planes ended by themselves three times, 0 if not, 2 if it could
# not run.
cd "$(dirname "$0")/../.." || exit 2
test -f target/dillfront.jar && test -f target/review-2/review2/LargeMessages.class || exit 2
exec java -Xmx600m -cp target/review-2 review2.LargeMessages review/8
