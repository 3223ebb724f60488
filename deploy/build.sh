#!/bin/sh
# Puts the libraries that the node imports and the package itself into target/deps, compiled: a
# process that compiles its modules at each start takes several MB and a tenth of a second more.
set -eu
if ! [ target/.libraries -nt deploy/requirements.txt ]; then
    python3 -m pip install -q -U --disable-pip-version-check --target target/deps -r deploy/requirements.txt
    touch target/.libraries
fi
# Unchanged sources stay as they are, and changed ones are put in place at once: processes of another
# play may start meanwhile, and one that finds half of the package ends.
if ! diff -rq -x __pycache__ src/guavamast target/deps/guavamast >/dev/null 2>&1; then
    rm -rf target/new target/old
    cp -r src/guavamast target/new
    find target/new -name __pycache__ -prune -exec rm -rf {} +
    mkdir -p target/old
    if [ -d target/deps/guavamast ]; then
        mv target/deps/guavamast target/old/guavamast
    fi
    mv target/new target/deps/guavamast
    for part in leases platform relay; do
        python3 -m compileall -q "target/deps/guavamast/$part"
    done
    python3 -m compileall -q -l target/deps/guavamast
fi
