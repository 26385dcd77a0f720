#!/bin/sh
# Writes record.txt beside itself.  1: the rule was broken, 0: it held, 2: the case couldn't run.  TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review/common-2:src:target/deps exec python3 review/6/case.py
