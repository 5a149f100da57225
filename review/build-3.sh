#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: they are plain Python of the standard
# library, so this only compiles them.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/harness3 review/1[1-5]
