#!/bin/bash
# Starts the system and its stand-ins; ends with 1 if a statement reached a draining primary too late, 0 if none did, 2 if it
# could not run.
cd "$(dirname "$0")/../.." || exit 2
test -f target/dillfront.jar && test -f target/review-2/review2/DrainAfterRestart.class || exit 2
exec java -Xmx300m -cp target/review-2 review2.DrainAfterRestart review/7
