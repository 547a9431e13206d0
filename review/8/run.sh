#!/bin/bash
# Starts the system and its stand-ins; ends with 1 if half of the control planes ended by themselves three times, 0 if not, 2 if
# it could not run.
cd "$(dirname "$0")/../.." || exit 2
test -f target/dillfront.jar && test -f target/review-2/review2/LargeOrders.class || exit 2
exec java -Xmx300m -cp target/review-2 review2.LargeOrders review/8
