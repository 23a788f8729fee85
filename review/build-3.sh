#!/bin/sh
# Prepares the stand-ins of the cases 11 to 15.  They are Python modules that
# run from target/deps, which the build of the deploy file makes, and from
# review/lib3; nothing is installed.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/sycamorespool/standins
PYTHONPATH=target/deps:review/lib3 PYTHONDONTWRITEBYTECODE=1 python3 -c "import world"
