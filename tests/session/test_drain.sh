#!/bin/bash
# Drains a host with peridotctl. Guards against a drained host that accepts
# requests, and against a refusal without a Retry-After.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/fleet.sh"
export PERIDOT_OPERATOR_KEY=$operator_key

start_service service-1
endpoint_domain=([service-1]=north)
endpoint_kind=([service-1]=service)
hosts_per_domain=1
write_sheet "$work/sheet.toml"
sheet_file=$work/sheet.toml
start_host north 1
expect_until "a call is served" \
	responds_with 200 call_service north-1 claim_status '{}'
expect_equal "health before the drain" 200 \
	"$(http_status "http://${address[north-1]}/healthz")"
runs=$(get_stat service-1 total_runs)
pass_or_fail "drain the host" "$build/peridotctl" drain \
	--host "${control[north-1]}"
expect_equal "health after the drain" 503 \
	"$(http_status "http://${address[north-1]}/healthz")"
expect_equal "booking at a drained host" 503 \
	"$(call_service north-1 book_return '{"bear":1}')"
expect_equal "outcome" not-run "$(header X-Peridot-Outcome)"
expect_equal "Retry-After in s" 1 "$(header Retry-After)"
expect_equal "runs after the drain" "$runs" "$(get_stat service-1 total_runs)"
pass_or_fail "the drain is logged" wait_until 5 \
	grep -q 'E4004 drain source=operator' "$work/north-1.err"
stop_program north-1
expect_equal "exit status of the host" 0 $?
finish
