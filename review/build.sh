#!/usr/bin/env bash
# Prepares what the scripts start besides the daemon of the deploy file's
# build. The stand-ins are in Python and need no build; this checks that they
# can be loaded and that the daemon is there.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
python3 - review/common/*.py review/[1-5]/*.py <<'PYTHON'
import sys
if sys.version_info < (3, 8):
    sys.exit("python3 is older than 3.8")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
test -x target/bin/platform/jackdawd ||
  echo "target/bin/platform/jackdawd is not built yet: run the deploy file's build"
