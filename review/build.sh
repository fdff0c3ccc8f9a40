#!/usr/bin/env bash
# The stand-ins are Python scripts and need no build; this checks that they can be read here.
set -euo pipefail
cd "$(dirname "$0")"
for file in support/*.py [1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
