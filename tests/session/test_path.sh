#!/bin/bash
# The whole request path with real processes: caller, host, engine and service.
# Guards against components that work in isolation but not together.
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
start_host north 1
start_host south 1

expect_until "a request is served" \
	responds_with 200 post_chat north-1 chat "a bear" 5 false
expect_equal "outcome of a response" completed "$(header X-Peridot-Outcome)"
expect_equal "text of a response" "$(expected_text "a bear" 5)" \
	"$(sed 's/.*"content":"\([^"]*\)".*/\1/' "$work/body")"
expect_equal "status of a stream" 200 \
	"$(post_chat north-1 match_report "a lost bear" 40 true)"
expect_equal "outcome of a stream" streaming "$(header X-Peridot-Outcome)"
expect_equal "text of a stream" "$(expected_text "a lost bear" 40)" \
	"$(stream_text "$work/body")"
expect_equal "last event of a stream" "data: [DONE]" \
	"$(grep . "$work/body" | tail -1)"

expect_equal "status of a booking" 200 \
	"$(call_service south-1 book_return '{"bear":1}' \
		-H 'Idempotency-Key: caller-1')"
expect_equal "body of a booking" \
	'{"run":1,"key_run":1,"call":"book_return","body":"{\"bear\":1}"}' \
	"$(cat "$work/body")"
expect_equal "runs of the booking" 1 "$(get_stat service-1 total_runs)"

for name in north-1 south-1
do
	stop_program "$name"
	expect_equal "exit status of $name" 0 $?
done
finish
