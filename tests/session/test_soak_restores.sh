#!/bin/bash
# A short run of the soak of restored stores with a fixed seed. Guards against
# configurations that are lost or go back after a restore (CONFIG), and against a
# soak program that is broken.
python3 "$(dirname "$0")/../soak/restores.py" "$1" 1 15
