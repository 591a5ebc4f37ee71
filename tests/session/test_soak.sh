#!/bin/bash
# A short run of the soak program with a fixed seed: guards against breaches of
# the guarantees under random faults, and against a soak program that is broken.
bash "$(dirname "$0")/../soak/soak.sh" "$1" 1 20
