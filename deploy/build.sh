#!/bin/sh
# Puts the libraries that the node imports and the package itself into target/deps.
set -eu
if ! [ target/.libraries -nt deploy/requirements.txt ]; then
    python3 -m pip install -q -U --disable-pip-version-check --target target/deps -r deploy/requirements.txt
    touch target/.libraries
fi
rm -rf target/deps/guavamast
cp -r src/guavamast target/deps/guavamast
