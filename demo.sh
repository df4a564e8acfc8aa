#!/usr/bin/env bash
# Installs the required packages, builds the release preset and runs the demo,
# whose platform and upstreams are stand-ins.
set -euo pipefail
cd "$(dirname "$0")"
.ci/install-packages
cmake --preset release >/dev/null
cmake --build --preset release
exec python3 testsuite/demo.py "$@"
