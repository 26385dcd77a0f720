#!/usr/bin/env bash
# The stand-ins are Python and use what the build of the deploy file has put into target/deps, so
# that nothing has to be fetched: this compiles them and shows that they can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=src:target/deps:review/common
python3 -m compileall -q review src/fuchsiatrack_standins/fleet
python3 -c "import harness, fuchsiatrack_standins.fleet.logservice"
echo "the stand-ins of the review are built"
