#!/bin/bash
# A short run of the soak of rate limits with a fixed seed. Guards against
# servers that get more, or far less, than the limit that they state while hosts
# and servers restart, and against a soak program that is broken.
python3 "$(dirname "$0")/../soak/limits.py" "$1" 7 25
