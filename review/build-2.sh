#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are
# Python programs, the project's own (testsuite/users_platform.py) and those in
# common_2.py and N/run.py, so there is nothing to compile; checks that they load.
set -e
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import common_2'
for n in 6 7 8 9 10; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' $n/run.py
done
test -x ../target/bin/monsoondockd || {
    echo "review/build-2.sh: run the build of deploy/system.toml first" >&2
    exit 2
}
