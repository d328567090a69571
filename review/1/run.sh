#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
python3 review/1/case.py &
case_pid=$!
trap 'kill "$case_pid" 2>/dev/null' TERM INT
wait "$case_pid"
code=$?
# A signal ends the first wait before the case has ended its processes.
while kill -0 "$case_pid" 2>/dev/null; do
  wait "$case_pid"
  code=$?
done
case $code in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
