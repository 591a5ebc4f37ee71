#!/bin/bash
# A planned stop of the only dispatcher that can serve a request waits for it:
# nothing can be resumed elsewhere, so a stop that does not wait cuts answers.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/fleet.sh"

domains=(north)
hosts_per_domain=1
start_engine engine-1 --token-us=10000
start_service service-1 --run-ms=1500
endpoint_domain=([engine-1]=north [service-1]=north)
endpoint_kind=([engine-1]=model [service-1]=service)
write_sheet "$work/sheet.toml"
sheet_file=$work/sheet.toml
start_dispatchd north 1
start_entryd north 1

expect_until "a request is served" \
	answered_as 200 ask entryd-north-1 chat warm 2 false
expect_until "a booking gets a ticket" \
	answered_as 428 call_service entryd-north-1 book_return '{"bear":1}'
ticket=$(header X-Peridot-Ticket)
curl -s -o "$work/booking" -w '%{http_code}' --max-time 20 \
	-H "Authorization: Bearer $customer_key" \
	-H "X-Peridot-Ticket: $ticket" --data-binary '{"bear":1}' \
	"http://${address[entryd-north-1]}/v1/services/claims/book_return" \
	>"$work/booking-status" &
booking=$!
curl -s -o "$work/stream" --max-time 20 \
	-H "Authorization: Bearer $customer_key" \
	-H "X-Peridot-Class: match_report" --data-binary \
	'{"model":"bear","stream":true,"x_output_tokens":300,"messages":[{"role":"user","content":"a stop"}]}' \
	"http://${address[entryd-north-1]}/v1/chat/completions" &
stream=$!
expect_until "the booking runs" stat_is service-1 in_flight 1
expect_until "the stream runs" stat_is engine-1 running 1
stop_program dispatchd-north-1
expect_equal "exit status of the dispatcher" 0 $?
wait $booking $stream
expect_equal "status of the booking" 200 "$(cat "$work/booking-status")"
expect_equal "runs of the booking" 1 "$(get_stat service-1 total_runs)"
expect_equal "text of the stream" "$(expected_answer "a stop" 300)" \
	"$(stream_text "$work/stream")"
expect_equal "last event of the stream" "data: [DONE]" \
	"$(grep . "$work/stream" | tail -1)"
expect_equal "streams cancelled" 0 "$(get_stat engine-1 cancelled)"
expect_equal "streams resumed" 0 "$(get_stat engine-1 resumed)"
stop_program entryd-north-1
expect_equal "exit status of the entry daemon" 0 $?
finish
