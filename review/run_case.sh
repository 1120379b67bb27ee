#!/usr/bin/env bash
# Runs the case in the folder $1; the exit code is that of the case.
set -u
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
root="$(dirname "$here")"
case="$(cd "$1" && pwd)"
cd "$root" || exit 2
path="$root"
for library in libs/*/src platform/src; do
  path="$path:$root/$library"
done
if [ -d target/deps ]; then
  python=python3
  path="$path:$root/target/deps"
elif [ -x .venv/bin/python ]; then
  python=.venv/bin/python
else
  echo "neither target/deps (the build line of deploy/system.toml) nor .venv (make setup) exists"
  exit 2
fi
export PYTHONPATH="$path:$here"
exec "$python" "$case/case.py"
