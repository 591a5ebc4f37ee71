#!/bin/bash
# Crowds at the addresses for readiness, metrics and other hosts. Guards against
# clients that use up memory or descriptors there, and against a readiness check
# that gets no answer because others hold all connections of its address.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"
. "$(dirname "$0")/crowd.sh"

metrics_answer()
{
	test "$(curl -s -m 2 -o "$work/metrics" -w '%{http_code}' \
		"http://${host_ip[h1]}:9464/metrics")" = 200
}

start_single_host
ip=${host_ip[h1]}
for kind in whole short chunks large fields fields-short ahead slow-send slow-read idle
do
	check_crowd "$kind" "$ip:8081" /peridotpin/readyz is_ready "$ip"
done
for kind in short ahead slow-read idle
do
	check_crowd "$kind" "$ip:9464" /metrics metrics_answer
	check_crowd "$kind" "$ip:8082" / is_ready "$ip"
done
finish
