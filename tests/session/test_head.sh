#!/bin/bash
# HEAD requests. Guards against a response that waits for a body which never
# comes, and against body bytes after its head, which the caller takes for the
# beginning of the next response (MIXED).
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"

start_single_host

# exchange.py ADDRESS PATH: sends a HEAD request, and once its response has come
# a GET request on the same connection that asks to close it. Prints status,
# framing fields and body of each response.
cat >"$work/exchange.py" <<'END_PYTHON'
import re, socket, sys
host, port = sys.argv[1].split(":")
sock = socket.create_connection((host, int(port)), 5)
sock.settimeout(5)


def send(method, connection):
    sock.sendall(("%s %s HTTP/1.1\r\nHost: h.example\r\nConnection: %s\r\n"
                  "X-Peridotpin-Attempt-Id: %s\r\n"
                  "Authorization: Bearer k1\r\n\r\n" % (
                      method, sys.argv[2], connection,
                      method + sys.argv[2])).encode())


def show(head, body):
    fields = [line for line in head.split("\r\n")[1:] if re.match(
        "(Content-Length|Transfer-Encoding):", line)]
    print(head.split(" ")[1], *fields, repr(body))


send("HEAD", "keep-alive")
data = b""
while b"\r\n\r\n" not in data:
    data += sock.recv(4096)
head, rest = data.decode().split("\r\n\r\n", 1)
show(head, rest)
send("GET", "close")
data = rest.encode()
while True:
    more = sock.recv(4096)
    if not more:
        break
    data += more
show(*data.decode().split("\r\n\r\n", 1))
END_PYTHON

# check_exchange WHAT ADDRESS PATH HEAD GET: checks the two responses.
check_exchange()
{
	expect_equal "$1" "$4"$'\n'"$5" \
		"$(python3 "$work/exchange.py" "$2" "$3" 2>&1)"
}

check_exchange "a lookup" "${address[h1]}" /again/a \
	"200 Content-Length: 13 ''" "200 Content-Length: 13 's1 /again/a 0'"
check_exchange "a call that may run once" "${address[h1]}" /once/a \
	"200 Content-Length: 12 ''" "200 Content-Length: 12 's1 /once/a 0'"
check_exchange "an unknown route" "${address[h1]}" /none \
	"404 Content-Length: 25 ''" \
	"404 Content-Length: 25 '{\"error\":\"no such route\"}'"
expect_equal "a stream" "200 Transfer-Encoding: chunked ''" \
	"$(python3 "$work/exchange.py" "${address[h1]}" /stream/a | head -1)"
expect_equal "each of six requests was sent once" 7 \
	"$(control "$net.101:8000" /control/count)"
check_exchange "a health check" "${host_ip[h1]}:8081" /peridotpin/readyz \
	"200 Content-Length: 0 ''" "200 Content-Length: 0 ''"
python3 "$work/exchange.py" "${host_ip[h1]}:9464" /metrics >"$work/metrics"
pass_or_fail "the head of the metrics alone" grep -qx \
	"200 Content-Length: [1-9][0-9]* ''" "$work/metrics"
pass_or_fail "and then the metrics" \
	sh -c "tail -n +2 '$work/metrics' | grep -q '^200 .*peridot'"
finish
