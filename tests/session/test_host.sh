#!/bin/bash
# One host process between callers and the platform's stand-ins: what callers
# and servers see for each way in which a server can respond or fail. Guards
# against a "not run" for a request that ran, against a request that runs twice,
# and against an incomplete response that is passed on as complete.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"

start_store
start_server s1 101
put_config 3 '"k1"'
put_server s1 101 plain d1 ready
# A record in another format is not a server.
put_record servers/odd '{"service":"plain","state":7}'
start_host h1 1 d1
s1=$net.101:8000

# send_in_modes MODES REQUEST...: sends one request while the server responds in
# the modes; prints the response and the requests that the server received.
send_in_modes()
{
	local modes=$1
	shift
	control "$s1" "/control/mode?next=$modes"
	send_request h1 "$@"
	control "$s1" /control/seen
}

# send_raw NAME TEXT: sends these bytes and no more; waits until the host closes
# the connection and prints the status line, or "closed" if there is none.
send_raw()
{
	local status_line
	exec 9<>"/dev/tcp/${address[h1]%:*}/${address[h1]#*:}"
	printf '%b' "$2" >&9
	status_line=$(timeout 8 head -n 1 <&9 | tr -d '\r')
	exec 9>&-
	printf '%s: %s\n' "$1" "${status_line:-closed}"
}

{
	echo "== served"
	send_in_modes ok plain-1 /once/a?b=1 -d 12345
	send_in_modes ok chunked-1 /once/a -H 'Transfer-Encoding: chunked' -d 123
	send_in_modes ok stream-1 /stream/x
	send_in_modes close-after close-1 /once/a
	echo "== refused by configuration"
	send_in_modes ok no-route /none/a
	key=wrong send_in_modes ok no-key /once/a
	echo "== not run is true"
	send_in_modes shed shed-once /once/a
	send_in_modes misdirected moved-once /once/a
	echo "== at most once"
	send_in_modes reset reset-once /once/a
	send_in_modes garbage garbage-once /once/a
	send_in_modes truncate truncate-once /once/a
	send_in_modes unstamped unstamped-once /once/a
	send_in_modes error error-once /once/a
	send_in_modes silent silent-once /once/a
	sleep 1 # until the server's circuit breaker admits requests
	echo "== whole answers only"
	send_in_modes foreign foreign-1 /once/a
	send_in_modes extra extra-1 /once/a
	send_in_modes ok after-extra /once/a
	send_in_modes half-stream half-single /single/stream/x
	echo "== limits"
	head -c 20000 /dev/zero >"$work/large"
	send_in_modes ok large-body /once/a --data-binary "@$work/large"
	send_in_modes ok large-head /once/a -H "X-Long: $(head -c 6000 /dev/zero | tr '\0' x)"
	echo "== malformed, truncated and slow"
	send_raw no-http 'nonsense\r\n\r\n'
	send_raw bad-length 'POST /once/a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1x\r\n\r\n'
	send_raw two-framings 'POST /once/a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
	send_raw bad-chunk 'POST /once/a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n'
	send_raw slow-head 'GET /once/a HTTP/1.1\r\nHost: h.ex'
	send_raw slow-body 'POST /once/a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 9\r\n\r\n123'
	send_raw idle ''
	control "$s1" /control/seen
} >"$work/transcript" 2>&1
golden=$(dirname "$0")/golden/host.txt
compare_golden "transcript of a host" "$golden" "$work/transcript"

# If a caller disconnects, its request is cancelled at the server.
control "$s1" /control/seen >"$work/seen"
control "$s1" "/control/mode?next=silent"
send_request h1 leaving-caller /once/a -m 0.3 >"$work/left"
sleep 0.3
control "$s1" /control/seen >"$work/seen"
pass_or_fail "a caller's close reaches the server" \
	grep -q 'closed id=leaving-caller' "$work/seen"

# Idempotent requests are retried at a second server.
start_server s2 102
put_server s2 102 plain d1 ready
wait_until 5 grep -q 'endpoint=s2' "$work/h1.out"
repeats_elsewhere()
{
	control "$s1" "/control/mode?next=$1,$1,$1"
	control "$net.102:8000" "/control/mode?next=ok,ok,ok"
	case $(send_request h1 "repeat-$1" "$2") in
	*": 200 "*"[curl 0]") return 0 ;;
	esac
	return 1
}
for mode in reset truncate error shed
do
	for try in 1 2 3 4
	do
		pass_or_fail "a repeatable request survives $mode ($try)" \
			repeats_elsewhere "$mode" /again/a
	done
done

# A broken stream is resumed at another server after its last complete event. A
# new host has no failure history of the servers.
start_host h2 2 d1
resumed=0
for try in 1 2 3 4 5 6
do
	control "$s1" "/control/mode?next=half-stream"
	send_request h2 "resumed-$try" /stream/y >"$work/resumed"
	expect_equal "a broken stream resumes after its last event ($try)" \
		"id: 1 id: 2 id: 3 id: 4 id: 5" \
		"$(grep -o 'id: [1-5]' "$work/resumed" | tr '\n' ' ' |
			sed 's/ $//')"
	control "$s1" /control/seen | grep -q half-stream &&
		resumed=$((resumed + 1))
done
pass_or_fail "at least one of the streams was broken" test $resumed -gt 0

# The metrics that on-call engineers check first.
curl -s -m 2 "http://${host_ip[h1]}:9464/metrics" >"$work/metrics"
for name in 'peridot_answers_total{status="502"}' peridot_answer_ms_count \
	'peridot_first_event_ms_bucket{le="+Inf"}'
do
	pass_or_fail "metrics have $name" grep -qF "$name " "$work/metrics"
done

finish
