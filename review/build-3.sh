#!/bin/sh
# Builds the stand-ins of the cases in review/11 to review/15, the project's own of test/cell among them. They are
# Python programs: this checks that each compiles, and leaves nothing in the tree.
cd "$(dirname "$0")/.." || exit 2
cache=$(mktemp -d) || exit 2
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" python3 -m py_compile test/cell/loopback.py test/cell/store.py test/cell/vms.py review/standins-3/*.py review/1[1-5]/case.py
