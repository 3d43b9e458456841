#!/bin/sh
# Install the package and its locked dependencies into target/deps.
set -eu
deps=target/deps
stamp=$deps/.installed
if [ ! "$stamp" -nt deploy/requirements.txt ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --no-deps --target "$deps" \
        -r deploy/requirements.txt
    touch "$stamp"
fi
# Processes of another run may be reading what is there already.
if ! diff -rq -x __pycache__ src/wigeonford "$deps/wigeonford" >/dev/null; then
    rm -rf "$deps/wigeonford"
    cp -R src/wigeonford "$deps/wigeonford"
    # Without this, each process would compile each module at its start.
    python3 -m compileall -q -f --invalidation-mode unchecked-hash "$deps"
fi
