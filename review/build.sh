#!/bin/sh
# The stand-ins are Python files without dependencies; this compiles them.
set -eu
cd "$(dirname "$0")"
exec python3 -m compileall -q common [1-5]
