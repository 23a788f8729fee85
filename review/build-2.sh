#!/bin/sh
# Prepares the stand-ins of the cases review/6 to review/10: they are Python,
# run from the repository and from target/deps, which the build of the deploy
# file makes.  It checks that they load and need nothing else.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m compileall -q review/lib2 \
    $(for n in 6 7 8 9 10; do [ -d "review/$n" ] && echo "review/$n"; done)
PYTHONPATH=target/deps:review/lib2 python3 -c 'import world'
