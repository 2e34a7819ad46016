#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They are Python programs on the standard library, so there is nothing to
# compile; this only checks that they can be read.
cd "$(dirname "$0")/.." && exec python3 -c '
import ast, pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
'
