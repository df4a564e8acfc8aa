#!/usr/bin/env bash
# Installs the packages, builds, and runs the demo on embedded stand-ins.
set -euo pipefail
cd "$(dirname "$0")"
.ci/install-packages
cmake --preset release >/dev/null
cmake --build --preset release
exec python3 testsuite/demo.py "$@"
