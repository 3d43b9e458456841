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
rm -rf "$deps/wigeonford"
cp -R src/wigeonford "$deps/wigeonford"
