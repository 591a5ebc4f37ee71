#!/bin/bash
# Endpoints in trouble before one host process: they send bytes without end or
# drip them, copy answers, break them off, leave, or ask for a pause. Guards
# the bounds of each answer, the host's memory, and what callers are told.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"

# Room for 20 requests of one host at the same time.
max_connections=2000
start_store
start_server s1 101
put_config 3 '"k1"'
put_server s1 101 plain d1 ready
start_host h1 1 d1
s1=$net.101:8000

# mode NAME: how the server answers all requests from now on.
set_mode()
{
	control "$s1" "/control/always?mode=$1"
}

# peak_kb NAME: the largest memory that the process had so far.
peak_kb()
{
	sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/${pid[$1]}/status"
}

# send_parallel COUNT PATH: requests at the same time, each with a file of its own.
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

# all_arrived SHAPE: the server has got the 20 requests of this shape.
all_arrived()
{
	control "$s1" /control/seen >"$work/seen"
	test "$(grep -c " $1\$" "$work/seen")" -ge 20
}

# none_succeeded FILE: no caller took one of the answers for a success.
none_succeeded()
{
	! grep -q '^200 0 ' "$1"
}

# all_ended_within SECONDS FILE: each of the requests had ended by then.
all_ended_within()
{
	awk -v most="$1" '$3 > most { late = 1 } END { exit late || !NR }' "$2"
}

echo "== bytes without end: 20 requests at once, each within its bound"
for shape in endless-head endless-interim endless-garbage endless-foreign \
	endless-refusal endless-chunked endless-close
do
	# Bounded by bytes, at once; a body that is passed on by its time.
	bound=0.5
	case $shape in
	endless-chunked | endless-close) bound=2.0 ;;
	esac
	set_mode $shape
	send_parallel 20 /once/a >"$work/$shape"
	pass_or_fail "$shape is met by 20 requests" all_arrived $shape
	pass_or_fail "$shape is no success" none_succeeded "$work/$shape"
	pass_or_fail "$shape ends within 0.5 s of its bound" \
		all_ended_within $bound "$work/$shape"
done
set_mode endless-extra
send_parallel 20 /once/a >"$work/endless-extra"
pass_or_fail "bytes after an answer don't hold it up" \
	all_ended_within 0.5 "$work/endless-extra"
set_mode endless-event
send_parallel 20 /single/stream/a >"$work/endless-event"
pass_or_fail "an event without end is met by 20 requests" \
	all_arrived endless-event
pass_or_fail "an event without end is no success" \
	none_succeeded "$work/endless-event"
pass_or_fail "an event without end ends at its bound" \
	all_ended_within 2.0 "$work/endless-event"
set_mode drip-stream
send_parallel 20 /single/stream/a >"$work/drip"
pass_or_fail "a dripping stream is met by 20 requests" all_arrived drip-stream
pass_or_fail "a dripping stream is no success" none_succeeded "$work/drip"
pass_or_fail "a dripping stream ends at the route's timeout" \
	all_ended_within 5.5 "$work/drip"
pass_or_fail "the host's memory stays below 16 MB ($(peak_kb h1) kB)" \
	test "$(peak_kb h1)" -lt 16384
pass_or_fail "the host still runs" kill -0 "${pid[h1]}"
set_mode ok

echo "== a slow but sound stream"
sleep 2 # the breaker of the troubled server
control "$s1" "/control/mode?next=slow-stream"
send_request h1 slow-1 /single/stream/a >"$work/slow"
expect_equal "20 events, 0.19 s apart" 20 "$(grep -o 'id: ' "$work/slow" | wc -l)"
pass_or_fail "the slow stream is whole" grep -q 'curl 0' "$work/slow"

echo "== a late second copy belongs to nobody"
control "$s1" "/control/mode?next=late-copy"
send_request h1 copy-1 /once/a >"$work/copy"
sleep 0.3
send_request h1 copy-2 /once/b >"$work/copy"
pass_or_fail "the next caller gets its own answer" \
	grep -q 'copy-2: 200 stamp-s1 s1 /once/b 0' "$work/copy"
control "$s1" "/control/mode?next=late-id-copy"
send_request h1 copy-3 /once/a >"$work/copy"
send_request h1 copy-4 /once/b >"$work/copy"
pass_or_fail "a copy without an id reaches nobody" \
	sh -c "! grep -q 'a late copy' '$work/copy'"
control "$s1" "/control/mode?next=late-same-copy"
send_request h1 same-id /once/a >"$work/copy"
send_request h1 same-id /once/b >>"$work/copy"
pass_or_fail "nor does one with the id of the next request" \
	sh -c "! grep -q 'a late copy' '$work/copy'"
# The copy arrives while the next request, which was given up, is on its way.
control "$s1" "/control/mode?next=late-copy,busy,ok"
send_request h1 copy-5 /once/a >"$work/copy"
send_request h1 copy-6 /once/b -m 0.05 >"$work/copy"
send_request h1 copy-7 /once/c >"$work/copy"
pass_or_fail "nor after a request that was given up" \
	grep -q 'copy-7: 200 stamp-s1 s1 /once/c 0' "$work/copy"

echo "== a large answer to a caller that reads slowly"
sleep 0.5
control "$s1" "/control/mode?next=large"
curl -s -m 1.4 --limit-rate 100k -o "$work/large" -H 'Host: h.example' \
	-H "Authorization: Bearer $key" -H 'X-Peridotpin-Attempt-Id: large-1' \
	"http://${address[h1]}/once/a"
pass_or_fail "a slow caller costs bounded memory ($(peak_kb h1) kB)" \
	test "$(peak_kb h1)" -lt 16384

echo "== an answer that breaks off is no success"
for shape in cut-length cut-chunked cut-close end-length end-chunked \
	cut-large
do
	control "$s1" "/control/mode?next=$shape"
	send_request h1 "$shape" /once/a >"$work/$shape"
	pass_or_fail "$shape" sh -c "! grep -q ': 200 .*curl 0' '$work/$shape'"
	sleep 0.3
done

# requests_to_s1 COUNT NAME: sends requests one after the other; prints how many
# of them reached the server.
requests_to_s1()
{
	local before i
	before=$(control "$s1" /control/count)
	for i in $(seq "$1")
	do
		send_request h1 "$2-$i" /once/a >>"$work/asked-$2"
	done
	echo $(($(control "$s1" /control/count) - before))
}

echo "== the only endpoint asks for a pause"
sleep 2 # the breaker of the troubled server
send_request h1 before-pause /once/a >"$work/asked"
control "$s1" "/control/mode?next=pause"
send_request h1 paused /once/a >"$work/asked"
expect_equal "nothing reaches it during its pause" 0 \
	"$(requests_to_s1 40 pause)"
: >"$work/head"
curl -s -m 8 -o "$work/body" -D "$work/head" -w '%{time_total}\n' \
	-H 'Host: h.example' -H "Authorization: Bearer $key" \
	-H 'X-Peridotpin-Attempt-Id: all-last' -H 'X-Peridotpin-Deadline-Ms: 20000' \
	"http://${address[h1]}/stream/a" >"$work/all-time"
pass_or_fail "the caller is refused" grep -q '^HTTP/1.1 503' "$work/head"
pass_or_fail "at once" awk '{ exit $1 > 0.1 }' "$work/all-time"
pass_or_fail "with a time at which the endpoint takes requests again" \
	awk '/^Retry-After/ { found = $2 > 1.0 && $2 < 5.0 }
		END { exit !found }' "$work/head"
# A change of its record doesn't end the pause.
put_server s1 101 plain d1 draining
put_server s1 101 plain d1 ready
sleep 0.6
expect_equal "its record changes nothing" 0 "$(requests_to_s1 10 record)"
sleep 3
pass_or_fail "it gets requests again after its pause" \
	test "$(requests_to_s1 5 again)" -gt 0
control "$s1" "/control/mode?next=pause-part"
send_request h1 part /once/a >"$work/asked"
sleep 1
pass_or_fail "a fraction of a second is a pause, too" \
	test "$(requests_to_s1 5 part)" -gt 0
for shape in pause-odd pause-negative
do
	control "$s1" "/control/mode?next=$shape"
	send_request h1 "$shape" /once/a >"$work/asked"
	expect_equal "$shape is taken for a short pause" 0 \
		"$(requests_to_s1 5 $shape)"
	sleep 1.2
	pass_or_fail "$shape ends" test "$(requests_to_s1 5 after)" -gt 0
done

echo "== an endpoint that leaves"
control "$s1" "/control/mode?next=leaving"
send_request h1 leaving /once/a >"$work/leaving"
pass_or_fail "its answer is passed on" grep -q ': 200 ' "$work/leaving"
expect_equal "nothing reaches it after it said that it leaves" 0 \
	"$(requests_to_s1 20 leaving)"
put_server s1 101 plain d1 draining
put_server s1 101 plain d1 ready
sleep 0.6
expect_equal "its record changes nothing" 0 "$(requests_to_s1 20 record)"
start_server s2 102
put_server s2 102 plain d1 ready
wait_until 5 grep -q 'endpoint=s2' "$work/h1.out"
sleep 0.6
expect_equal "the others are used" 0 "$(requests_to_s1 20 others)"
pass_or_fail "and serve" sh -c "! grep -v ': 200 ' '$work/asked-others'"
# A successor with the same id and address is another process.
put_record servers/s1 "{\"service\":\"plain\",\"address\":\"$s1\",\"zone\":\"d1\",\
\"slots\":4,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\
\"born\":2}"
sleep 0.6
pass_or_fail "its successor gets requests" \
	test "$(requests_to_s1 40 successor)" -gt 0
# A resumable stream makes progress by whole events: one that drips bytes goes
# on at another server.
for dripping in "$s1" "$net.102:8000"
do
	control "$s1" "/control/mode?next=ok"
	control "$net.102:8000" "/control/mode?next=ok"
	control "$dripping" "/control/mode?next=drip-stream"
	send_request h1 "drips-$dripping" /stream/a >"$work/drips"
	pass_or_fail "a resumable stream is whole although $dripping drips" \
		grep -q 'id: 5 .*curl 0' "$work/drips"
	control "$dripping" /control/seen >>"$work/dripped"
done
pass_or_fail "a server has dripped" grep -q drip-stream "$work/dripped"
control "$s1" "/control/mode?next=leaving-error"
control "$net.102:8000" "/control/always?mode=busy"
for i in 1 2 3 4 5 6
do
	send_request h1 "fails-$i" /once/a >"$work/asked"
	control "$s1" /control/seen >"$work/seen"
	grep -q leaving-error "$work/seen" && break
done
pass_or_fail "it failed a request as it leaves" \
	grep -q leaving-error "$work/seen"
expect_equal "a failure tells that it leaves, too" 0 \
	"$(requests_to_s1 20 failure)"
finish
