#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: they are Python programs, so this checks that the
# interpreter can compile them.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPYCACHEPREFIX="${TMPDIR:-/tmp}/fulmarpoint-review-cache"
shopt -s nullglob
python3 -m py_compile review/common-2/*.py review/[6-9]/case.py review/1[0]/case.py
