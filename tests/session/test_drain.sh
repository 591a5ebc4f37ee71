#!/bin/bash
# Drains a dispatcher and an entry daemon with peridotctl. Guards against new
# work at a drained daemon and against a refusal without a time to retry.
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
start_dispatchd north 1
start_entryd north 1
expect_until "a booking without a ticket gets one" \
	answered_as 428 call_service entryd-north-1 book_return '{"bear":1}'
ticket=$(header X-Peridot-Ticket)

pass_or_fail "drain the dispatcher" "$build/peridotctl" drain \
	--daemon "${control[dispatchd-north-1]}"
expect_equal "unspent ticket of a drained dispatcher" 503 \
	"$(call_service entryd-north-1 book_return '{"bear":1}' \
		-H "X-Peridot-Ticket: $ticket")"
expect_equal "outcome" not-run "$(header X-Peridot-Outcome)"
expect_equal "time to retry in s" 1 "$(header Retry-After)"
expect_equal "runs of the booking" 0 "$(get_stat service-1 total_runs)"

expect_equal "health before the drain" 200 \
	"$(http_status "http://${address[entryd-north-1]}/healthz")"
pass_or_fail "drain the entry daemon" "$build/peridotctl" drain \
	--daemon "${control[entryd-north-1]}"
expect_equal "health after the drain" 503 \
	"$(http_status "http://${address[entryd-north-1]}/healthz")"
expect_equal "call at a drained entry daemon" 503 \
	"$(call_service entryd-north-1 claim_status '{}')"
expect_equal "time to retry in s" 1 "$(header Retry-After)"
pass_or_fail "the drain is logged" grep -q 'E4004 drain source=operator' \
	"$work/entryd-north-1.err"

for name in entryd-north-1 dispatchd-north-1
do
	stop_program "$name"
	expect_equal "exit status of $name" 0 $?
done
finish
