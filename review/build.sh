#!/bin/sh
# The stand-ins that the cases start are written in Python (testsuite/ and
# review/common.py), so there is nothing to compile. Checks that they load.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sys
sys.path[:0] = ["review", "testsuite"]
import common, users_platform, entry_calls'
test -x target/bin/monsoondockd || {
    echo "review/build.sh: run the build of deploy/system.toml first" >&2
    exit 2
}
