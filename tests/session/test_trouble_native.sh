#!/bin/bash
# The same misbehaving endpoints as in test_trouble.sh on the project's own
# interface: endless responses, dripping and slow streams, late duplicates,
# truncated responses, and endpoints that leave or request a back-off.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/fleet.sh"

standin=$(dirname "$0")/../standins/platform.py
domains=(north)
hosts_per_domain=1
courier_timeout_ms=1500
chat_timeout_ms=3000
cold_limit=40
max_in_flight=40
for name in service-1 engine-1
do
	start_program $name python3 "$standin" native \
		"$net.$((100 + ${#endpoint_domain[@]})):8000" $name
	endpoint_domain[$name]=north
	endpoint_kind[$name]=${name%-1}
done
endpoint_kind[engine-1]=model
write_sheet "$work/sheet.toml"
sheet_file=$work/sheet.toml
start_host north 1
wait_until 10 responds_with 200 call_service north-1 claim_status '{}'

# control NAME PATH: sends a request to a control path of a stand-in and prints
# the response body.
control()
{
	curl -sS -m 5 "http://${address[$1]}/control/$2"
}

# run_parallel COUNT COMMAND...: runs COUNT copies of the command at the same
# time; prints status, curl's exit code and time of each.
run_parallel()
{
	local i count=$1 jobs=()
	shift
	for i in $(seq "$count")
	do
		"$@" >"$work/many.$i" &
		jobs+=($!)
	done
	wait "${jobs[@]}"
	cat "$work"/many.*
	rm -f "$work"/many.*
}

timed=(curl -s -m 8 -o /dev/null -w '%{http_code} %{exitcode} %{time_total}\n'
	-H "Authorization: Bearer $customer_key")
send_booking()
{
	"${timed[@]}" --data-binary '{}' \
		"http://${address[north-1]}/v1/services/claims/book_return"
}

send_chat()
{
	"${timed[@]}" -H 'X-Peridot-Class: chat' --data-binary \
		'{"model":"bear","stream":true,"messages":[{"role":"user","content":"a"}]}' \
		"http://${address[north-1]}/v1/chat/completions"
}

# none_succeeded FILE: a condition: no request got a complete 200 response.
none_succeeded()
{
	! grep -q '^200 0 ' "$1"
}

# all_ended_within SECONDS FILE: a condition: no request took longer.
all_ended_within()
{
	awk -v max="$1" '$3 > max { late = 1 } END { exit late || !NR }' "$2"
}

# all_arrived NAME MODE: a condition: the stand-in received 20 requests in this
# mode.
all_arrived()
{
	control "$1" seen >"$work/seen"
	test "$(grep -c " $2\$" "$work/seen")" -ge 20
}

# peak_kb: prints the peak resident memory of the host.
peak_kb()
{
	sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/${pid[north-1]}/status"
}

before_kb=$(peak_kb)
for mode in endless-head endless-interim endless-garbage endless-chunked \
	endless-close endless-foreign
do
	control service-1 "always?mode=$mode"
	run_parallel 20 send_booking >"$work/$mode"
	pass_or_fail "$mode reaches 20 requests" all_arrived service-1 $mode
	pass_or_fail "$mode is no success" none_succeeded "$work/$mode"
	pass_or_fail "$mode ends within 0.5 s of the timeout" \
		all_ended_within 2.0 "$work/$mode"
done
control service-1 "always?mode=ok"
for mode in endless-event drip-stream
do
	control engine-1 "always?mode=$mode"
	run_parallel 20 send_chat >"$work/$mode"
	pass_or_fail "$mode reaches 20 requests" all_arrived engine-1 $mode
	# The stream's status is 200; its failure shows by the missing [DONE].
	pass_or_fail "$mode ends within 0.5 s of the timeout" \
		all_ended_within 3.5 "$work/$mode"
done
control engine-1 "always?mode=ok"
pass_or_fail "memory grows by less than 16 MB ($before_kb to $(peak_kb) kB)" \
	test $(($(peak_kb) - before_kb)) -lt 16384
sleep 2 # until the endpoints' circuit breakers admit requests

control engine-1 "mode?next=slow-stream"
post_chat north-1 match_report slow 20 true >"$work/status"
expect_equal "a slow stream is complete" "data: [DONE]" \
	"$(grep . "$work/body" | tail -1)"

control service-1 "mode?next=late-copy"
call_service north-1 book_return '{"n":1}' >"$work/status"
sleep 0.3
call_service north-1 claim_status '{"n":2}' >"$work/status"
pass_or_fail "a late duplicate reaches no caller" \
	sh -c "! grep -q 'a late copy' '$work/body'"
control service-1 "mode?next=late-same-copy"
call_service north-1 book_return '{"n":1}' -H 'X-Peridot-Request: same' \
	>"$work/status"
call_service north-1 book_return '{"n":2}' -H 'X-Peridot-Request: same' \
	>"$work/status"
pass_or_fail "nor does a duplicate with the id of the next request" \
	sh -c "! grep -q 'a late copy' '$work/body'"

for mode in cut-length cut-chunked cut-close end-length end-chunked cut-head \
	end-head
do
	control service-1 "mode?next=$mode"
	expect_equal "$mode is no success" "502 unknown" \
		"$(call_service north-1 book_return '{}') $(header X-Peridot-Outcome)"
	sleep 0.5
done

# Guards against a part of an answer that reaches the caller as a whole one
# since its connection ended while the request was still being sent, and against
# an answer without a status.
head -c 900000 /dev/zero >"$work/large"
for mode in early-close-reset early-close-fin-reset early-close-fin status-000 \
	status-0200 status-101
do
	for call in book_return claim_status
	do
		sleep 2 # until the endpoint's circuit breaker admits requests
		control service-1 "mode?next=$mode,$mode"
		expect_equal "$mode, $call is no success" "502 unknown" \
			"$(call_service north-1 $call "@$work/large") $(header X-Peridot-Outcome)"
		control service-1 seen >"$work/seen"
		pass_or_fail "$mode, $call reaches the service" \
			grep -q " $mode\$" "$work/seen"
	done
done

# requests_to_service COUNT: sends COUNT requests; prints how many reach the
# service.
requests_to_service()
{
	local before i
	before=$(control service-1 count)
	for i in $(seq "$1")
	do
		call_service north-1 book_return '{}' -m 1 >>"$work/status"
	done
	echo $(($(control service-1 count) - before))
}

sleep 2
control service-1 "mode?next=pause"
call_service north-1 book_return '{}' -m 1 >"$work/status"
expect_equal "no request reaches it during its back-off" \
	0 "$(requests_to_service 2)"
sleep 3
expect_until "it gets requests again after its back-off" \
	responds_with 200 call_service north-1 book_return '{}'
control service-1 "mode?next=leaving"
expect_equal "response of an endpoint that leaves" 200 \
	"$(call_service north-1 book_return '{}')"
expect_equal "no request reaches it after that" 0 "$(requests_to_service 2)"
pass_or_fail "the host still runs" kill -0 "${pid[north-1]}"
finish
