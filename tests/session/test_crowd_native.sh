#!/bin/bash
# Crowds that misuse the callers' and the operators' address of the native host,
# whose sheets may have 16 MiB. Guards against a host that runs out of memory by
# sheets that stop short of their end, and against operators and callers that get
# no answer meanwhile.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/crowd.sh"
. "$(dirname "$0")/fleet.sh"

crowd_host=north-1
crowd_memory_mb=64
crowd_clients=40
max_body_bytes=$((4 * 1024 * 1024))
native_limits="memory_mb = $crowd_memory_mb
max_fds = $crowd_max_fds
max_body_bytes = $max_body_bytes"

restart_host()
{
	start_host north 1
}

ordinary_request_is_served()
{
	test "$(call_service north-1 claim_status '{}')" = 200
}

operators_are_answered()
{
	status_of north-1 | grep -q '"host"'
}

domains=(north)
hosts_per_domain=1
start_service service-1
endpoint_domain[service-1]=north
endpoint_kind[service-1]=service
write_sheet "$work/sheet.toml"
sheet_file=$work/sheet.toml
start_host north 1
for kind in short chunks ahead
do
	check_crowd "$kind" "${control[north-1]}" /v1/sheet operators_are_answered
	check_crowd "$kind" "${address[north-1]}" /v1/services/claims/claim_status
done
check_crowd idle "${control[north-1]}" /v1/sheet operators_are_answered
finish
