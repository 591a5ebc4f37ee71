#!/bin/bash
# The whole path with real processes: caller, entry daemon, dispatch daemon,
# engine and service. Guards against a part that works alone only.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/fleet.sh"

start_engine engine-1
start_engine engine-2
start_service service-1
endpoint_domain=([engine-1]=north [engine-2]=south [service-1]=north)
endpoint_kind=([engine-1]=model [engine-2]=model [service-1]=service)
hosts_per_domain=1
write_sheet "$work/sheet.toml"
sheet_file=$work/sheet.toml
start_dispatchd north 1
start_dispatchd south 1
start_entryd north 1

expect_until "a request is served" \
	answered_as 200 ask entryd-north-1 chat "a bear" 5 false
expect_equal "outcome of a whole answer" completed "$(header X-Peridot-Outcome)"
expect_equal "text of a whole answer" "$(expected_answer "a bear" 5)" \
	"$(sed 's/.*"content":"\([^"]*\)".*/\1/' "$work/body")"
expect_equal "status of a stream" 200 \
	"$(ask entryd-north-1 match_report "a lost bear" 40 true)"
expect_equal "text of a stream" "$(expected_answer "a lost bear" 40)" \
	"$(stream_text "$work/body")"
expect_equal "last event of a stream" "data: [DONE]" \
	"$(grep . "$work/body" | tail -1)"

expect_until "a booking without a ticket gets one" \
	answered_as 428 call_service entryd-north-1 book_return '{"bear":1}'
ticket=$(header X-Peridot-Ticket)
for round in first second
do
	expect_equal "$round answer of a booking" 200 \
		"$(call_service entryd-north-1 book_return '{"bear":1}' \
			-H "X-Peridot-Ticket: $ticket")"
	expect_equal "$round body of a booking" \
		'{"run":1,"key_run":1,"call":"book_return","body":"{\"bear\":1}"}' \
		"$(cat "$work/body")"
done
expect_equal "runs of the booking" 1 "$(get_stat service-1 total_runs)"
expect_equal "another body with the ticket" 422 \
	"$(call_service entryd-north-1 book_return '{"bear":2}' \
		-H "X-Peridot-Ticket: $ticket")"
expect_equal "runs after another body" 1 "$(get_stat service-1 total_runs)"

for name in entryd-north-1 dispatchd-north-1 dispatchd-south-1
do
	stop_program "$name"
	expect_equal "exit status of $name" 0 $?
done
finish
