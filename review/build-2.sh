#!/usr/bin/env bash
# Builds every stand-in that the scripts of cases 6 and up start. They are Python programs of the standard library only,
# so it checks that the interpreter can compile them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 - <<'PY'
import pathlib
for path in [*pathlib.Path("lib2").glob("*.py"), *pathlib.Path(".").glob("[0-9]*/case.py")]:
    compile(path.read_text(), str(path), "exec")
PY
