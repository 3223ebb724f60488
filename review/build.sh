#!/bin/sh
# Builds what the scripts in review/ start besides the program of the deploy file: the project's own
# stand-ins, which that build has copied to target/deps, and the small ones in review/support.
set -eu
cd "$(dirname "$0")/.."
if ! [ -d target/deps/guavamast/platform/standins ]; then
    echo "run the build of deploy/system.toml first" >&2
    exit 2
fi
python3 -m compileall -q target/deps/guavamast/platform/standins review/support
PYTHONPATH=target/deps:review python3 -c "import support.deployment, support.engines, support.clients"
