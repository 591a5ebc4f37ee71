#!/bin/bash
# Service calls that are not repeatable, when the service, its connection or the
# router fails. Guards against a call that is sent twice (P7), and against "not
# run" for a call that may have run (P6).
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/fleet.sh"

domains=(north)
hosts_per_domain=1
start_service service-1
start_service service-2
for i in 1 2
do
	start_relay "to-service-$i" "${address[service-$i]}"
	endpoint_address[service-$i]=${address[to-service-$i]}
	endpoint_domain[service-$i]=north
	endpoint_kind[service-$i]=service
done
write_sheet "$work/sheet.toml"
sheet_file=$work/sheet.toml
start_host north 1

# run_count: prints how many calls both services have run.
run_count()
{
	echo $(($(get_stat service-1 total_runs) + $(get_stat service-2 total_runs)))
}

# send_booking BODY: sends a booking with an idempotency key of its own; prints
# status and outcome.
send_booking()
{
	local status
	status=$(call_service north-1 book_return "$1" \
		-H "Idempotency-Key: key-$1")
	echo "$status $(header X-Peridot-Outcome)"
}

expect_equal "a booking" "200 completed" "$(send_booking 1)"
expect_equal "runs of the booking" 1 "$(run_count)"

# The service closes the connection after it has run the call: the outcome is
# unknown to the router, and no other service may run the call.
set_switch service-1 break_next=1
set_switch service-2 break_next=1
expect_equal "a booking whose response is lost" \
	"502 unknown" "$(send_booking 2)"
expect_equal "runs after a lost response" 2 "$(run_count)"
set_switch service-1 break_next=0
set_switch service-2 break_next=0

set_switch service-1 fail_next=1
set_switch service-2 fail_next=1
expect_equal "a booking that the service fails" "500 failed" "$(send_booking 3)"
expect_equal "runs after a failure" 3 "$(run_count)"
set_switch service-1 fail_next=0
set_switch service-2 fail_next=0

# A repeatable call is retried at the other service.
set_switch service-1 break_next=1
set_switch service-2 break_next=0
for i in 1 2 3 4
do
	expect_equal "repeatable call $i" 200 \
		"$(call_service north-1 claim_status "$i")"
done
set_switch service-1 break_next=0
before=$(run_count)

# No service listens: nothing has run, and the response has a Retry-After.
stop_program service-1
stop_program service-2
stop_program to-service-1
stop_program to-service-2
expect_equal "a booking without a service" "503 not-run" "$(send_booking 4)"
pass_or_fail "the response has a Retry-After" test "$(header Retry-After)" -ge 1

# Bookings in progress when the router is killed run once at most.
start_service service-3 --run-ms=300
endpoint_address=() endpoint_domain=([service-3]=north)
endpoint_kind=([service-3]=service)
sheet_version=2
write_sheet "$work/sheet.toml"
expect_until "the new service is used" \
	responds_with 200 call_service north-1 book_return first
for i in $(seq 10)
do
	curl -s -m 10 -o "$work/killed-$i" \
		-H "Authorization: Bearer $customer_key" \
		--data-binary "killed $i" \
		"http://${address[north-1]}/v1/services/claims/book_return" &
	killed[i]=$!
done
expect_until "the bookings run" stat_above service-3 in_flight 0
stop_program north-1 KILL
wait "${killed[@]}"
sleep 0.5
expect_equal "most runs of one booking" 1 "$(get_stat service-3 max_runs)"
pass_or_fail "services counted runs" test "$before" -ge 3
finish
