#!/bin/sh
# Checks that the stand-ins of the scripts compile; they need no other build.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import glob
for path in sorted(glob.glob("standins/*.py") + glob.glob("[1-5]/*.py") + ["../test/cell/%s.py" % name for name in ("cell", "loopback", "store", "vms")]):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PY
