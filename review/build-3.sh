#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 15. They are Python and need no build; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for source in lib3/*.py 1[1-5]/*.py; do
    [ ! -e "$source" ] || python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$source"
done
