#!/bin/sh
# Puts the libraries that the node imports and the package itself into target/deps, compiled: a
# process that compiles its modules at each start takes several MB and a tenth of a second more.
set -eu
if ! [ target/.libraries -nt deploy/requirements.txt ]; then
    python3 -m pip install -q -U --disable-pip-version-check --target target/deps -r deploy/requirements.txt
    touch target/.libraries
fi
rm -rf target/deps/guavamast
cp -r src/guavamast target/deps/guavamast
python3 -m compileall -q target/deps/guavamast/relay target/deps/guavamast/platform
python3 -m compileall -q -l target/deps/guavamast
