#!/bin/sh
# Checks and compiles the stand-ins of the scripts.  They need only the
# standard library of Python; the entries come from the deploy file's build.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common
