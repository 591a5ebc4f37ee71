#!/bin/bash
# A short run of the soak of host processes with a fixed seed: guards against
# breaches under random faults, and against a soak program that is broken.
python3 "$(dirname "$0")/../soak/hosts.py" "$1" 1 10
