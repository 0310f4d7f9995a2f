#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -d review/standins-2/build ] && [ -f target/eiderfork.jar ] || exit 2
exec timeout -k 5 115 java -Xmx256m -Dsun.net.httpserver.idleInterval=600 -Dsun.net.httpserver.maxIdleConnections=2000 -cp 'review/standins-2/build:target/lib/*' review2.Case4 review/4/record.txt
