#!/bin/bash
# Crowds that misuse a path with a route. Guards against a host that runs out of
# memory or descriptors, hangs, or serves nobody else meanwhile.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"
. "$(dirname "$0")/crowd.sh"

start_single_host
for kind in $crowd_kinds idle
do
	check_crowd "$kind" "${address[h1]}" /once/crowd
done
finish
