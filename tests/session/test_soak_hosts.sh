#!/bin/bash
# Short runs of the host soak with fixed seeds. Guards against violated
# invariants under random faults, and against a soak program that is broken.
soak=$(dirname "$0")/../soak/hosts.py

python3 "$soak" "$1" 1 10 || exit 1
# This seed kills a host that is already being stopped. The soak once started
# the host twice then, and the second process exited since its ports were in
# use.
python3 "$soak" "$1" 712 12 || exit 1
