#!/bin/bash
# Servers that answer while the request is still being sent, and servers whose
# answer has no valid status. Guards against a part of an answer that reaches the
# caller as a whole one (MIXED), against an answer without a status that does, and
# against a caller who waits for a second answer until the route's timeout.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"

start_store
start_server s1 101
max_body_bytes=8000000 put_config 3 '"k1"'
put_server s1 101 plain d1 ready
start_host h1 1 d1
s1=$net.101:8000
# More than the socket buffers hold, and a body of which some is unacknowledged
# when the answer comes.
head -c 7000000 /dev/zero >"$work/large"
head -c 400000 /dev/zero >"$work/small"

# serves: a condition: the server's circuit breaker admits requests, and the
# answer is the server's.
serves()
{
	send_request h1 serves /once/a | grep -q ': 200 stamp-s1 s1 /once/a 0 .*curl 0'
}

# is_answered MODE PATH [CURL_ARGUMENT...]: a condition: the request reached the
# server in this mode. Adds the caller's answer to $work/answer, which it
# otherwise leaves empty.
is_answered()
{
	local mode=$1 path=$2
	shift 2
	: >"$work/answer"
	send_request h1 "$mode" "$path" -H Expect: "$@" >"$work/sent"
	control "$s1" /control/seen >"$work/seen"
	grep -q " $mode\$" "$work/seen" && cp "$work/sent" "$work/answer"
}

# answer_has REGEX: a condition on the caller's answer, which it shows otherwise.
answer_has()
{
	grep -q "$1" "$work/answer" || { head -c 300 "$work/answer"; false; }
}

# try_mode MODE PATH [CURL_ARGUMENT...]: sends a request that the server answers
# in this mode.
try_mode()
{
	wait_until 10 serves
	control "$s1" "/control/seen" >"$work/seen"
	control "$s1" "/control/always?mode=$1"
	pass_or_fail "$1 $2 reaches the server" wait_until 10 is_answered "$@"
	control "$s1" "/control/always?mode=ok"
}

echo "== a part of an answer before the request is sent"
for framing in length chunked close
do
	for end in reset fin-reset fin
	do
		for size in large small
		do
			for path in /once/a /again/a /stream/a
			do
				mode=early-$framing-$end
				try_mode $mode $path --data-binary "@$work/$size"
				pass_or_fail "$mode $path, $size body: 502" \
					answer_has ': 502 '
			done
		done
	done
done

echo "== a whole answer before the request is sent"
for end in reset keep
do
	for size in large small
	do
		for path in /once/a /again/a
		do
			mode=early-whole-$end
			try_mode $mode $path --data-binary "@$work/$size"
			pass_or_fail "$mode $path, $size body: passed on" \
				answer_has ': 200 stamp-s1 a part .*curl 0'
		done
	done
done
pass_or_fail "the rest of a body is no request" serves

try_mode early-close-fin /once/a --data-binary 'all of it'
pass_or_fail "an answer that ends with its connection is passed on" \
	answer_has ': 200 stamp-s1 a part .*curl 0'

echo "== a refusal before the request is sent"
for end in reset fin-reset
do
	mode=early-refusal-$end
	try_mode $mode /once/a --data-binary "@$work/large"
	pass_or_fail "$mode: refused as not run" \
		answer_has ': 503 '
done

# has_seen TEXT: a condition: the server has got a request since it was asked
# last.
has_seen()
{
	control "$s1" /control/seen | grep -q "$1"
}

# late_answer MODE: the host is stopped while an answer and the reset behind it
# arrive, so that it finds both at once. Guards against an answer that is lost
# with the rest of the request.
late_answer()
{
	wait_until 10 serves
	control "$s1" /control/seen >"$work/seen"
	control "$s1" "/control/mode?next=$1"
	send_request h1 "$1" /once/a -H Expect: --data-binary "@$work/large" \
		>"$work/answer" &
	local sender=$!
	pass_or_fail "$1 reaches the server" wait_until 10 has_seen " $1\$"
	kill -STOP "${pid[h1]}"
	sleep 0.8
	kill -CONT "${pid[h1]}"
	wait $sender
}

echo "== an answer and a reset that the host finds at once"
late_answer early-whole-late
pass_or_fail "the answer is passed on" \
	answer_has ': 200 stamp-s1 a part .*curl 0'
late_answer early-refusal-late
pass_or_fail "the refusal counts" answer_has ': 503 '

echo "== no valid status"
for mode in status-000 status-00 status-0 status-099 status-20 status-0200 \
	status-00200 status-2000 status-101
do
	for path in /once/a /again/a /stream/a /single/stream/a
	do
		try_mode $mode $path
		pass_or_fail "$mode $path: 502, and not at its timeout" \
			answer_has ': 502 '
	done
	try_mode $mode /again/a -I
	pass_or_fail "$mode, HEAD: 502, and not at its timeout" \
		answer_has ': 502 '
done

echo "== a status without a meaning of its own is the server's failure"
for status in 600 999
do
	try_mode status-$status /once/a
	pass_or_fail "status $status is passed on" \
		answer_has ": $status stamp-s1 a part .*curl 0"
done
finish
