#!/bin/sh
# Builds what the roles run from into target/.
set -eu
if [ ! target/deps -nt deploy/requirements.txt ]; then
  python3 -m pip install -q -U --no-deps --target target/deps \
    -r deploy/requirements.txt
  touch target/deps
fi
# Compiled at build time: each second of start-up is one without service.
python3 -O -m compileall -q target/deps src platform >/dev/null
