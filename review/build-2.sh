#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python programs of the standard library alone: nothing is compiled
# but their byte code, as a check. The programs under test come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX=$cache python3 -m py_compile support-2/*.py [6-9]/case.py $(ls -d 10/case.py 2>/dev/null || true)
test -x ../target/source/programs/cuminpathd/cuminpathd
