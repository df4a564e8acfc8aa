#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the daemon of the deploy
# file. Their stand-ins are Python programs, so there is nothing to compile; this
# checks that they can be read and that the daemon is there.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/bin/monsoondockd
python3 - testsuite/raw_worker.py testsuite/users_platform.py \
    testsuite/session.py testsuite/work_record.py review/common_3.py \
    review/1[1-5]/*.py <<'PY'
import ast
import pathlib
import sys
for name in sys.argv[1:]:
    if pathlib.Path(name).exists():
        ast.parse(pathlib.Path(name).read_text(), name)
PY
echo "stand-ins: ready"
