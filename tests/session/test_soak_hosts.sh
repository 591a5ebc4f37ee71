#!/bin/bash
# Short runs of the soak of host processes with fixed seeds: guards against
# breaches under random faults, and against a soak program that is broken.
soak=$(dirname "$0")/../soak/hosts.py

python3 "$soak" "$1" 1 10 || exit 1
# A kill while the same host was being stopped: the soak started the host twice,
# and the second process ended since its ports were in use.
python3 "$soak" "$1" 712 12 || exit 1
