#!/bin/bash
# One host process with misbehaving endpoints: they send endless or dripping
# responses, duplicate or truncate responses, leave, or request a back-off.
# Guards against responses that exceed their bounds, against unbounded memory,
# and against wrong responses to callers.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"

# Enough connections for 20 concurrent requests of one host.
max_connections=2000
start_store
start_server s1 101
put_config 3 '"k1"'
put_server s1 101 plain d1 ready
start_host h1 1 d1
s1=$net.101:8000

# set_mode NAME: sets how the server responds to all requests from now on.
set_mode()
{
	control "$s1" "/control/always?mode=$1"
}

# peak_kb NAME: prints the peak resident memory of the process.
peak_kb()
{
	sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/${pid[$1]}/status"
}

# send_parallel COUNT PATH: sends COUNT concurrent requests; prints status,
# curl's exit code and time of each.
send_parallel()
{
	local i processes=()
	for i in $(seq "$1")
	do
		curl -s -m 8 -o "$work/many.$i" \
			-w '%{http_code} %{exitcode} %{time_total}\n' \
			-H 'Host: h.example' -H "Authorization: Bearer $key" \
			-H "X-Peridotpin-Attempt-Id: many-$RANDOM-$i" \
			"http://${address[h1]}$2" >"$work/many-end.$i" &
		processes+=($!)
	done
	wait "${processes[@]}"
	cat "$work"/many-end.*
	rm -f "$work"/many.* "$work"/many-end.*
}

# all_arrived MODE: a condition: the server received 20 requests in this mode.
all_arrived()
{
	control "$s1" /control/seen >"$work/seen"
	test "$(grep -c " $1\$" "$work/seen")" -ge 20
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

echo "== endless responses to 20 concurrent requests, each ended at its bound"
for mode in endless-head endless-interim endless-garbage endless-foreign \
	endless-refusal endless-chunked endless-close
do
	# A forwarded body is bounded by the route's timeout; all else is
	# bounded in bytes, so it ends at once.
	bound=0.5
	case $mode in
	endless-chunked | endless-close) bound=2.0 ;;
	esac
	set_mode $mode
	send_parallel 20 /once/a >"$work/$mode"
	pass_or_fail "$mode reaches 20 requests" all_arrived $mode
	pass_or_fail "$mode is no success" none_succeeded "$work/$mode"
	pass_or_fail "$mode ends within 0.5 s of its bound" \
		all_ended_within $bound "$work/$mode"
done
set_mode endless-extra
send_parallel 20 /once/a >"$work/endless-extra"
pass_or_fail "bytes after a response don't delay it" \
	all_ended_within 0.5 "$work/endless-extra"
set_mode endless-event
send_parallel 20 /single/stream/a >"$work/endless-event"
pass_or_fail "an endless event reaches 20 requests" \
	all_arrived endless-event
pass_or_fail "an endless event is no success" \
	none_succeeded "$work/endless-event"
pass_or_fail "an endless event ends at its bound" \
	all_ended_within 2.0 "$work/endless-event"
set_mode drip-stream
send_parallel 20 /single/stream/a >"$work/drip"
pass_or_fail "a dripping stream reaches 20 requests" all_arrived drip-stream
pass_or_fail "a dripping stream is no success" none_succeeded "$work/drip"
pass_or_fail "a dripping stream ends at the route's timeout" \
	all_ended_within 5.5 "$work/drip"
pass_or_fail "the host's memory stays below 16 MB ($(peak_kb h1) kB)" \
	test "$(peak_kb h1)" -lt 16384
pass_or_fail "the host still runs" kill -0 "${pid[h1]}"
set_mode ok

echo "== a slow but valid stream"
sleep 2 # until the server's circuit breaker admits requests
control "$s1" "/control/mode?next=slow-stream"
send_request h1 slow-1 /single/stream/a >"$work/slow"
expect_equal "20 events, 0.19 s apart" 20 "$(grep -o 'id: ' "$work/slow" | wc -l)"
pass_or_fail "the slow stream is complete" grep -q 'curl 0' "$work/slow"

echo "== a late duplicate response is discarded"
control "$s1" "/control/mode?next=late-copy"
send_request h1 copy-1 /once/a >"$work/copy"
sleep 0.3
send_request h1 copy-2 /once/b >"$work/copy"
pass_or_fail "the next caller gets its own response" \
	grep -q 'copy-2: 200 stamp-s1 s1 /once/b 0' "$work/copy"
control "$s1" "/control/mode?next=late-id-copy"
send_request h1 copy-3 /once/a >"$work/copy"
send_request h1 copy-4 /once/b >"$work/copy"
pass_or_fail "a duplicate without an id reaches no caller" \
	sh -c "! grep -q 'a late copy' '$work/copy'"
control "$s1" "/control/mode?next=late-same-copy"
send_request h1 same-id /once/a >"$work/copy"
send_request h1 same-id /once/b >>"$work/copy"
pass_or_fail "nor does a duplicate with the id of the next request" \
	sh -c "! grep -q 'a late copy' '$work/copy'"
# The duplicate arrives while the next request, which the caller abandons, is in
# flight.
control "$s1" "/control/mode?next=late-copy,busy,ok"
send_request h1 copy-5 /once/a >"$work/copy"
send_request h1 copy-6 /once/b -m 0.05 >"$work/copy"
send_request h1 copy-7 /once/c >"$work/copy"
pass_or_fail "nor does a duplicate after an abandoned request" \
	grep -q 'copy-7: 200 stamp-s1 s1 /once/c 0' "$work/copy"

echo "== a large response to a caller that reads slowly"
sleep 0.5
control "$s1" "/control/mode?next=large"
curl -s -m 1.4 --limit-rate 100k -o "$work/large" -H 'Host: h.example' \
	-H "Authorization: Bearer $key" -H 'X-Peridotpin-Attempt-Id: large-1' \
	"http://${address[h1]}/once/a"
pass_or_fail "a slow caller costs bounded memory ($(peak_kb h1) kB)" \
	test "$(peak_kb h1)" -lt 16384

echo "== a truncated response is no success"
for mode in cut-length cut-chunked cut-close end-length end-chunked \
	cut-large
do
	control "$s1" "/control/mode?next=$mode"
	send_request h1 "$mode" /once/a >"$work/$mode"
	pass_or_fail "$mode" sh -c "! grep -q ': 200 .*curl 0' '$work/$mode'"
	sleep 0.3
done

echo "== nor is one that ends within its head, orderly or not"
for mode in cut-head end-head
do
	for path in /once/a /again/a /single/stream/a
	do
		sleep 2 # until the server's circuit breaker admits requests
		control "$s1" "/control/mode?next=$mode,$mode"
		control "$s1" /control/seen >"$work/seen"
		send_request h1 "$mode" $path >"$work/$mode"
		pass_or_fail "$mode $path gets 502" \
			grep -q ': 502 ' "$work/$mode"
		control "$s1" /control/seen >"$work/seen"
		pass_or_fail "$mode $path reaches the server" \
			grep -q " $path .* $mode\$" "$work/seen"
	done
done
control "$s1" "/control/mode?next=ok"
sleep 2

echo "== a stream without a length that ends before its first event"
control "$s1" "/control/mode?next=empty-stream"
send_request h1 empty-1 /single/stream/a >"$work/empty"
pass_or_fail "is no success" sh -c "! grep -q ': 200 .*curl 0' '$work/empty'"
sleep 0.3

now_ms()
{
	date +%s%3N
}

# requests_to_s1 COUNT NAME [END_MS]: sends COUNT requests one after the other,
# none of them after END_MS; prints how many of them reached the server. A busy
# machine may need longer for COUNT requests than a back-off lasts.
requests_to_s1()
{
	local before i
	before=$(control "$s1" /control/count)
	for i in $(seq "$1")
	do
		test "$(now_ms)" -lt "${3:-9999999999999}" || break
		send_request h1 "$2-$i" /once/a >>"$work/asked-$2"
	done
	echo $(($(control "$s1" /control/count) - before))
}

echo "== the only endpoint requests a back-off"
sleep 2 # until the server's circuit breaker admits requests
send_request h1 before-pause /once/a >"$work/asked"
control "$s1" "/control/mode?next=pause"
paused_ms=$(now_ms)
send_request h1 paused /once/a >"$work/asked"
expect_equal "no request reaches it during its back-off" 0 \
	"$(requests_to_s1 40 pause $((paused_ms + 1200)))"
pass_or_fail "requests were sent during it" test -s "$work/asked-pause"
: >"$work/head"
curl -s -m 8 -o "$work/body" -D "$work/head" -w '%{time_total}\n' \
	-H 'Host: h.example' -H "Authorization: Bearer $key" \
	-H 'X-Peridotpin-Attempt-Id: all-last' -H 'X-Peridotpin-Deadline-Ms: 20000' \
	"http://${address[h1]}/stream/a" >"$work/all-time"
pass_or_fail "the caller is refused" grep -q '^HTTP/1.1 503' "$work/head"
pass_or_fail "the refusal comes at once" \
	awk '{ exit $1 > 0.1 }' "$work/all-time"
pass_or_fail "its Retry-After is the end of the endpoint's back-off" \
	awk '/^Retry-After/ { found = $2 > 1.0 && $2 < 5.0 }
		END { exit !found }' "$work/head"
# A change of its record doesn't end the back-off.
put_server s1 101 plain d1 draining
put_server s1 101 plain d1 ready
sleep 0.6
expect_equal "a changed record doesn't end the back-off" 0 \
	"$(requests_to_s1 10 record $((paused_ms + 2800)))"
pass_or_fail "requests were sent after the change" test -s "$work/asked-record"
sleep 3
pass_or_fail "it gets requests again after its back-off" \
	test "$(requests_to_s1 5 again)" -gt 0
control "$s1" "/control/mode?next=pause-part"
send_request h1 part /once/a >"$work/asked"
sleep 1
pass_or_fail "a Retry-After below a second is accepted" \
	test "$(requests_to_s1 5 part)" -gt 0
for mode in pause-odd pause-negative
do
	control "$s1" "/control/mode?next=$mode"
	paused_ms=$(now_ms)
	send_request h1 "$mode" /once/a >"$work/asked"
	expect_equal "$mode causes a short back-off" 0 \
		"$(requests_to_s1 5 $mode $((paused_ms + 800)))"
	sleep 1.2
	pass_or_fail "the back-off of $mode ends" \
		test "$(requests_to_s1 5 after)" -gt 0
done

echo "== an endpoint that leaves"
control "$s1" "/control/mode?next=leaving"
send_request h1 leaving /once/a >"$work/leaving"
pass_or_fail "its response is passed on" grep -q ': 200 ' "$work/leaving"
expect_equal "no request reaches it after it announced that it leaves" 0 \
	"$(requests_to_s1 20 leaving)"
put_server s1 101 plain d1 draining
put_server s1 101 plain d1 ready
sleep 0.6
expect_equal "a changed record doesn't make it available again" 0 \
	"$(requests_to_s1 20 record)"
start_server s2 102
put_server s2 102 plain d1 ready
wait_until 5 grep -q 'endpoint=s2' "$work/h1.out"
sleep 0.6
expect_equal "no request reaches it when there is another endpoint" \
	0 "$(requests_to_s1 20 others)"
pass_or_fail "the other endpoint serves" \
	sh -c "! grep -v ': 200 ' '$work/asked-others'"
# A record with a higher "born" is a new process with the same id and address.
put_record servers/s1 "{\"service\":\"plain\",\"address\":\"$s1\",\"zone\":\"d1\",\
\"slots\":4,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\
\"born\":2}"
sleep 0.6
pass_or_fail "its successor gets requests" \
	test "$(requests_to_s1 40 successor)" -gt 0
# Progress of a resumable stream counts in complete events: a stream that drips
# bytes is resumed at another server. The host chooses the server that it
# expects to be faster, which may be the other one, so the request is repeated
# until it reaches the server that drips.
for dripping in "$s1" "$net.102:8000"
do
	control "$s1" "/control/mode?next=ok"
	control "$net.102:8000" "/control/mode?next=ok"
	control "$dripping" /control/seen >"$work/seen"
	control "$dripping" "/control/mode?next=drip-stream"
	: >"$work/drips"
	for i in $(seq 20)
	do
		send_request h1 "drips-$dripping-$i" /stream/a >>"$work/drips"
		control "$dripping" /control/seen >"$work/dripped"
		grep -q drip-stream "$work/dripped" && break
	done
	pass_or_fail "a resumable stream completes although $dripping drips" \
		sh -c "! grep -v 'id: 5 .*curl 0' '$work/drips'"
	pass_or_fail "$dripping has dripped" grep -q drip-stream "$work/dripped"
done
control "$s1" "/control/mode?next=leaving-error"
control "$net.102:8000" "/control/always?mode=busy"
for i in 1 2 3 4 5 6
do
	send_request h1 "fails-$i" /once/a >"$work/asked"
	control "$s1" /control/seen >"$work/seen"
	grep -q leaving-error "$work/seen" && break
done
pass_or_fail "it failed a request while it announced that it leaves" \
	grep -q leaving-error "$work/seen"
expect_equal "the announcement counts in an error response, too" 0 \
	"$(requests_to_s1 20 failure)"
finish
