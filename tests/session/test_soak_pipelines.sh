#!/bin/bash
# Usage: test_soak_pipelines.sh BUILD_DIR [SEED] [DURATION_S]
# The fuzz of pipelined requests, short and with a fixed seed, while
# configurations are replaced. Guards against answers that change places, requests
# that get none, and bytes behind the end of a connection that run (MIXED, LOST,
# REFUSED).
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"

max_connections=2000
header_timeout_ms=10000
start_single_host
version=3
python3 "$(dirname "$0")/../soak/pipelines.py" "${address[h1]}" "${pid[h1]}" \
	"$net.101:8000" "${2:-1}" "${3:-8}" >"$work/fuzz" 2>&1 &
fuzz=$!
while kill -0 "$fuzz" 2>"$work/kill.err"
do
	version=$((version + 1))
	put_config $version '"k1"'
	sleep 0.5
done
wait "$fuzz"
pass_or_fail "no breach" test $? = 0
cat "$work/fuzz"
wait "${pid[h1]}"
expect_equal "the host stops with status 0" 0 $?
unset "pid[h1]"
finish
