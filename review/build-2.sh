#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and later start: the project's own, and those of
# review/common-2.  They need nothing beside Python and what the build of the deploy file has put into
# target/deps.
cd "$(dirname "$0")/.." || exit 2
set -e
python3 -m compileall -q src/fuchsiatrack_standins review/common-2 review/6 review/7 review/8 review/9 review/10
PYTHONPATH=review/common-2:src:target/deps python3 -c \
    "import cluster, fuchsiatrack_standins.fleet.logservice, fuchsiatrack_standins.fleet.server"
