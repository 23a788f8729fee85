#!/bin/sh
# Installs the libraries and the package in target/deps, on the import path
# of the process.
set -eu
deps=target/deps
if [ ! -e "$deps/.ready" ] || [ deploy/requirements.txt -nt "$deps/.ready" ]
then
    rm -rf "$deps"
    python3 -m pip install --quiet --no-deps --target "$deps" \
        -r deploy/requirements.txt
    touch "$deps/.ready"
fi
rm -rf "$deps/sycamorespool"
cp -r src/sycamorespool "$deps/sycamorespool"
python3 -m compileall -q "$deps"
