#!/bin/bash
# A planned stop while callers connect. Guards against requests that get no
# response because their connections were just accepted, or wait in the accept
# queue, when the host stops listening.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"

# send_on_connections ADDRESS COUNT: opens COUNT connections, sends a request on
# each and then prints the status line of each response, or "cut" if there is
# none.
send_on_connections()
{
	python3 - "$1" "$2" <<-'END'
	import socket, sys
	host, port = sys.argv[1].split(":")
	socks = []
	for number in range(int(sys.argv[2])):
	    sock = socket.create_connection((host, int(port)), 5)
	    sock.settimeout(5)
	    sock.sendall(b"GET /once/a HTTP/1.1\r\nHost: h.example\r\n"
	                 b"Authorization: Bearer k1\r\n"
	                 b"X-Peridotpin-Attempt-Id: late-%d\r\n\r\n" % number)
	    socks.append(sock)
	print("sent", flush=True)
	for sock in socks:
	    try:
	        status_line = sock.recv(4096).split(b"\r\n")[0].decode()
	    except OSError:
	        status_line = ""
	    print(status_line or "cut", flush=True)
	END
}

max_connections=2000
start_single_host

# The host is suspended (SIGSTOP) while its accept period after SIGTERM ends;
# the connections and their requests wait in the kernel.
kill -TERM "${pid[h1]}"
sleep 2
kill -STOP "${pid[h1]}"
send_on_connections "${address[h1]}" 40 >"$work/late" &
sender_pid=$!
wait_until 5 grep -q sent "$work/late"
sleep 1
kill -CONT "${pid[h1]}"
wait "$sender_pid"
expect_equal "responses to requests in the accept queue" 40 \
	"$(grep -c '^HTTP/1.1 200' "$work/late")"
expect_equal "requests without a response" 0 \
	"$(grep -c '^cut' "$work/late")"
wait "${pid[h1]}"
expect_equal "the stop ends with status 0" 0 $?
unset "pid[h1]"
pass_or_fail "no request was in progress at the exit" \
	grep -q 'E1003 stopped callers=0 requests=0' \
	"$work/h1.out"
finish
