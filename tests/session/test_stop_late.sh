#!/bin/bash
# A planned stop while requests arrive late in the grace period, or still run at its
# end. Guards against requests that are taken although they can't be completed, and
# cut without an answer (LOST).
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"

# upload ADDRESS SECONDS PATH ID: sends a request whose body is complete after
# SECONDS, with a byte each second until then ("never": it is not completed); prints
# "sent" after the first part, then the status line of the response, or "cut" if
# there is none.
upload()
{
	python3 - "$@" <<-'END'
	import select, socket, sys
	host, port = sys.argv[1].split(":")
	sock = socket.create_connection((host, int(port)), 5)
	sock.settimeout(9)
	sock.sendall(b"POST %s HTTP/1.1\r\nHost: h.example\r\n"
	             b"Authorization: Bearer k1\r\nContent-Length: 9\r\n"
	             b"X-Peridotpin-Attempt-Id: %s\r\n\r\nhalf"
	             % (sys.argv[3].encode(), sys.argv[4].encode()))
	print("sent", flush=True)
	left = 4.0 if sys.argv[2] == "never" else float(sys.argv[2])
	rest = b"body" if sys.argv[2] == "never" else b"-body"
	def has_answer(seconds):
	    return select.select([sock], [], [], seconds)[0]
	try:
	    while left > 1 and not has_answer(1):
	        sock.sendall(rest[:1])
	        rest, left = rest[1:], left - 1
	    if not has_answer(left) and sys.argv[2] != "never":
	        sock.sendall(rest)
	    line = sock.recv(4096).split(b"\r\n")[0].decode()
	except OSError:
	    line = ""
	print(line or "cut")
	END
}

# status_of_upload ID: prints the status code that the upload got.
status_of_upload()
{
	sed -n '2s/HTTP.1.1 \([0-9]*\).*/\1/; 2p' "$work/upload-$1"
}

# Requests to /quiet/ reach a server that doesn't answer.
quiet_route()
{
	printf '{"name":"%s","hostname":"h.example","prefix":"/quiet/%s/",' "$1" "$1"
	printf '"route_type":"%s","timeout_ms":%s,"target_latency_ms":300,' "$2" "$3"
	printf '"priority":1,"service":"quiet","max_attempts":1,"public":true},'
}
more_routes="$(quiet_route once non_idempotent 1500)\
$(quiet_route stream streaming 9000)"

max_connections=2000
start_single_host
start_server s2 102
put_server s2 102 quiet d1 ready
control "$net.102:8000" "/control/always?mode=silent"
expect_until "the host knows both servers" \
	grep -q 'E4101 .*endpoint=s2' "$work/h1.out"

# The grace period is 5 s; requests that still run after 4.3 s are ended.
kill -TERM "${pid[h1]}"
begin=$SECONDS
begin_upload()
{
	upload "${address[h1]}" "$2" "$3" "$1" >"$work/upload-$1" &
	uploads+=($!)
}
uploads=()
begin_upload soon 0.5 /once/soon
begin_upload late 2.8 /once/late
begin_upload stream 2.8 /single/stream/late
begin_upload held 2.9 /quiet/once/held
begin_upload running 0 /quiet/stream/running
begin_upload unread never /once/unread
wait "${uploads[@]}"
expect_equal "an upload that ends within the accept period" 200 \
	"$(status_of_upload soon)"
expect_equal "a short request that is complete later" 200 \
	"$(status_of_upload late)"
expect_equal "a stream whose deadline is beyond the end is refused" 503 \
	"$(status_of_upload stream)"
expect_equal "a request that is not complete at the end is refused" 503 \
	"$(status_of_upload unread)"
expect_equal "a request that may run once, at a server at the end" 502 \
	"$(status_of_upload held)"
expect_equal "a stream that has not begun at the end" 502 \
	"$(status_of_upload running)"
control "$net.101:8000" /control/seen >"$work/seen"
control "$net.102:8000" /control/seen >>"$work/seen"
expect_equal "what was refused has not reached the server" 0 \
	"$(grep -cE 'id=(stream|unread) ' "$work/seen")"
expect_equal "what has reached it did so once" 2 \
	"$(grep -cE '^[^c].* id=(held|running) ' "$work/seen")"
wait "${pid[h1]}"
expect_equal "the stop ends with status 0" 0 $?
unset "pid[h1]"
pass_or_fail "within the grace period" test $((SECONDS - begin)) -le 5
pass_or_fail "no request was in progress at the exit" \
	grep -q 'E1003 stopped callers=[0-9]* requests=0' "$work/h1.out"

# A grace period of which the accept period and the reserve would leave nothing: the
# host stops to accept after half of it, before it ends what runs.
grace_s=3
start_host h2 2 d1
send_request h2 short /once/a >"$work/short"
pass_or_fail "a request is served by another host" \
	grep -q ': 200 ' "$work/short"
upload "${address[h2]}" never /once/unread short >"$work/upload-short" &
upload=$!
expect_until "a part of a request is sent" grep -q sent "$work/upload-short"
kill -TERM "${pid[h2]}"
refuses_connections()
{
	! (: <>"/dev/tcp/${address[h2]%:*}/${address[h2]#*:}") 2>"$work/connect.err" &&
		! grep -q HTTP "$work/upload-short"
}
pass_or_fail "connections are refused before the end of a short grace period" \
	wait_until 3 refuses_connections
wait "$upload"
expect_equal "a request that is not complete at its end" 503 \
	"$(status_of_upload short)"
wait "${pid[h2]}"
expect_equal "the short stop ends with status 0" 0 $?
unset "pid[h2]"
finish
