#!/bin/sh
# Builds what the scripts of cases 6 to 10 start besides the nodes: stand-ins in Python
# 3.11 without libraries, which are only checked here. The nodes come from target/deps,
# which the build of the deploy file makes.
set -eu
cd "$(dirname "$0")/.."
for source in review/harness2/*.py review/6/*.py review/7/*.py review/8/*.py \
    review/9/*.py review/10/*.py; do
    [ -f "$source" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
