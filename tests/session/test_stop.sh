#!/bin/bash
# A planned stop of the only host waits for the requests in progress, which
# can't be resumed elsewhere. Guards against a stop that cuts off responses
# (P9).
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/fleet.sh"

domains=(north)
hosts_per_domain=1
accept_ms=500
start_engine engine-1 --token-us=10000
start_service service-1 --run-ms=1500
endpoint_domain=([engine-1]=north [service-1]=north)
endpoint_kind=([engine-1]=model [service-1]=service)
write_sheet "$work/sheet.toml"
sheet_file=$work/sheet.toml
start_host north 1

expect_until "a request is served" \
	responds_with 200 post_chat north-1 chat warm 2 false
curl -s -o "$work/booking" -w '%{http_code}' --max-time 20 \
	-H "Authorization: Bearer $customer_key" --data-binary '{"bear":1}' \
	"http://${address[north-1]}/v1/services/claims/book_return" \
	>"$work/booking-status" &
booking=$!
curl -s -o "$work/stream" --max-time 20 \
	-H "Authorization: Bearer $customer_key" \
	-H "X-Peridot-Class: match_report" --data-binary \
	'{"model":"bear","stream":true,"x_output_tokens":300,"messages":[{"role":"user","content":"a stop"}]}' \
	"http://${address[north-1]}/v1/chat/completions" &
stream=$!
expect_until "the booking runs" stat_is service-1 in_flight 1
expect_until "the stream runs" stat_is engine-1 running 1
host=${pid[north-1]}
kill -TERM "$host"
expect_until "the health check fails" responds_with 503 \
	http_status "http://${address[north-1]}/healthz"
expect_equal "a new request is refused" \
	503 "$(post_chat north-1 chat late 2 false)"
expect_equal "outcome of the refused request" \
	not-run "$(header X-Peridot-Outcome)"
pass_or_fail "the refusal has a Retry-After" test "$(header Retry-After)" -ge 1
unset "pid[north-1]"
wait "$host"
expect_equal "exit status of the host" 0 $?
wait $booking $stream
expect_equal "status of the booking" 200 "$(cat "$work/booking-status")"
expect_equal "runs of the booking" 1 "$(get_stat service-1 total_runs)"
expect_equal "text of the stream" "$(expected_text "a stop" 300)" \
	"$(stream_text "$work/stream")"
expect_equal "last event of the stream" "data: [DONE]" \
	"$(grep . "$work/stream" | tail -1)"
expect_equal "streams cancelled" 0 "$(get_stat engine-1 cancelled)"
expect_equal "streams resumed" 0 "$(get_stat engine-1 resumed)"
finish
