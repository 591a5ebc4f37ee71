#!/bin/bash
# Malformed input on every listener of both host programs, from the platform's
# store, and in the settings file. Guards against one message or an unexpected
# error that crashes the process or exhausts its memory.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"

# send_malformed ADDRESS tcp|udp SEED: sends 200 messages, each random bytes or
# a valid start followed by random bytes, each on its own connection or in its
# own datagram. The messages depend on SEED only.
send_malformed()
{
	python3 - "$@" <<-'END'
	import random, socket, sys
	host, port = sys.argv[1].split(":")
	rng = random.Random(int(sys.argv[3]))
	starts = [b"", b"GET / HTTP/1.1\r\n", b"POST /once/a HTTP/1.1\r\n"
	          b"Host: h.example\r\nTransfer-Encoding: chunked\r\n\r\n",
	          b"\x00\x00\x01\x00", b"\x7f\xff\xff\xff", b"\x93\x01\x02",
	          b"\x92\x10\xdd\xff\xff\xff\xff", b"\x9f" * 64,
	          b"\xdd\xff\xff\xff\xff", b"\xc6\xff\xff\xff\xff"]
	for number in range(200):
	    data = rng.choice(starts) + rng.randbytes(rng.choice([0, 3, 40, 1300]))
	    if sys.argv[2] == "udp":
	        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
	        sock.sendto(data, (host, int(port)))
	        sock.close()
	        continue
	    try:
	        with socket.create_connection((host, int(port)), 2) as sock:
	            sock.sendall(data * rng.choice([1, 1, 50]))
	            if number % 3 == 0:
	                sock.shutdown(socket.SHUT_WR)
	    except OSError:
	        pass  # refused or reset by the host
	END
}

# peak_kb NAME: prints the peak resident memory of the process.
peak_kb()
{
	sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/${pid[$1]}/status"
}

echo "== the users' platform"
start_store
start_server s1 101
put_config 3 '"k1"'
put_server s1 101 plain d1 ready
start_host h1 1 d1
ip=${host_ip[h1]}
seed=1
for listener in "$ip:8080 tcp" "$ip:8081 tcp" "$ip:8082 tcp" "$ip:9464 tcp" \
	"$ip:7340 udp" "$ip:7341 udp"
do
	# shellcheck disable=SC2086 # address and kind
	send_malformed $listener $seed
	seed=$((seed + 1))
	pass_or_fail "$listener: the host still runs" kill -0 "${pid[h1]}"
	send_request h1 "after-$seed" /once/a >"$work/after"
	pass_or_fail "and serves" grep -q ': 200 ' "$work/after"
done
for value in '{' '[]' '{"version":"x"}' '{"version":99,"routes":7}' \
	'{"version":98,"routes":[{"name":[]}],"services":{},"tenants":3}' \
	"$(head -c 3000 /dev/zero | tr '\0' '[')"
do
	put_record op/config "$value"
	put_record servers/s9 "$value"
	put_record "op/evacuate/$value" "$value"
done
sleep 1
pass_or_fail "records: the host still runs" kill -0 "${pid[h1]}"
# Another writer's entries: nested as deeply as the store allows, with numbers
# out of range, and with an id that would add a header field.
python3 - "$store_address" "$net.101" <<-'END'
	import sys, urllib.parse, urllib.request
	store, ip = sys.argv[1:]
	nested = "[" * 400000
	entry = ('{"service":"plain","zone":"d1","state":"ready","address":"%s",'
	         '"slots":%s,"cold_remaining_ms":%s,"born":%s}')
	values = [nested, '{"service":' + nested, '{"a":' * 60000]
	values += [entry % (ip + ":" + port, 4, 0, 1)
	           for port in ("70000", "0", "-1", "99999999999999999999", "x")]
	values += [entry % (ip + ":8000", *numbers) for numbers in (
	    ("1e300", 0, 1), (4, "1e300", 1), (4, "-1e300", 1), (4, 0, "1e300"),
	    (4, 0, "9" * 400))]
	for number, value in enumerate(values):
	    for key in ("servers/odd-%d" % number, "servers/a\r\nX-Odd: %d" % number):
	        query = urllib.parse.urlencode({"key": key, "value": value})
	        urllib.request.urlopen("http://%s/control/put?%s" % (store, query))
END
sleep 1
for i in $(seq 20)
do
	send_request h1 "odd-$i" /once/a
done >"$work/odd"
expect_equal "odd entries name no server to use" 20 \
	"$(grep -c ': 200 stamp-s1 ' "$work/odd")"
send_request h1 after-records /once/a >"$work/after"
pass_or_fail "and serves by the last valid configuration" \
	grep -q ': 200 ' "$work/after"
head -c 2000 /dev/urandom >"$work/h1.conf"
kill -HUP "${pid[h1]}"
sleep 0.3
pass_or_fail "settings: the host still runs" kill -0 "${pid[h1]}"
send_request h1 after-settings /once/a >"$work/after"
pass_or_fail "and serves by the previous settings" \
	grep -q ': 200 ' "$work/after"
pass_or_fail "memory stays below 16 MB ($(peak_kb h1) kB)" \
	test "$(peak_kb h1)" -lt 16384

echo "== the project's own interface"
. "$(dirname "$0")/fleet.sh"
domains=(north)
hosts_per_domain=1
start_service service-1
endpoint_domain[service-1]=north
endpoint_kind[service-1]=service
write_sheet "$work/sheet.toml"
sheet_file=$work/sheet.toml
start_host north 1
expect_until "a call is served" responds_with 200 \
	call_service north-1 claim_status '{}'
before_kb=$(peak_kb north-1)
ip=$(host_ip north 1)
for listener in "${address[north-1]} tcp" "${control[north-1]} tcp" \
	"$ip:7100 tcp" "$ip:7100 udp" "$ip:7101 udp"
do
	# shellcheck disable=SC2086 # address and kind
	send_malformed $listener $seed
	seed=$((seed + 1))
	pass_or_fail "$listener: the host still runs" kill -0 "${pid[north-1]}"
	expect_equal "and serves" 200 \
		"$(call_service north-1 claim_status '{}')"
done
echo 'version = [[[' >"$work/sheet.toml"
head -c 3000 /dev/urandom >"$work/bad-sheet"
push_sheet north-1 "$work/bad-sheet" >"$work/status"
pass_or_fail "a pushed file that is not a sheet is refused" \
	grep -q '^4' "$work/status"
head -c 2000 /dev/urandom >"$work/north-1.toml"
kill -HUP "${pid[north-1]}"
sleep 1.2
pass_or_fail "settings and sheet: the host still runs" \
	kill -0 "${pid[north-1]}"
expect_equal "and serves" 200 "$(call_service north-1 claim_status '{}')"
pass_or_fail "memory grows by less than 16 MB" \
	test $(($(peak_kb north-1) - before_kb)) -lt 16384
finish
