#!/bin/bash
# Crowds that misuse a path without a route, and the path that says ready, at the
# callers' address. Guards against the same as test_crowd_route.sh for requests
# that the host answers itself, whose answers nobody reads.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"
. "$(dirname "$0")/crowd.sh"

start_single_host
for path in /none /peridotpin/readyz
do
	for kind in $crowd_kinds
	do
		check_crowd "$kind" "${address[h1]}" "$path"
	done
done
finish
