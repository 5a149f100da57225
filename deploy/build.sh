#!/bin/sh
# Installs the pinned libraries when they, the interpreter or the kind of machine have
# changed, and the package always.
set -eu
deps=target/deps
stamp=target/deps.stamp
# Libraries with compiled parts fit one kind of machine and one version of Python.
wanted=$(python3 -VV; uname -sm; cat deploy/requirements.txt)
if [ "$(cat "$stamp" 2>/dev/null)" != "$wanted" ]; then
    rm -rf "$deps" "$stamp"
    python3 -m pip install -q --target "$deps" -r deploy/requirements.txt
    printf '%s\n' "$wanted" > "$stamp"
fi
rm -rf "$deps/monsoonmill"
cp -R src/monsoonmill "$deps/monsoonmill"
find "$deps/monsoonmill" -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q "$deps/monsoonmill"
