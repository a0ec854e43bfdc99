#!/bin/sh
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if it couldn't be played.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
PYTHONPATH=review .venv/bin/python review/8/case.py &
play=$!
# A signal from outside ends the play, and with it all that it has started.
trap 'kill "$play"; wait "$play"; exit 2' TERM INT
wait "$play"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
