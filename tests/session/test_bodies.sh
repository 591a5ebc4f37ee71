#!/bin/bash
# Bodies that arrive at once are bounded over all callers, so that a small host
# keeps its memory: what is beyond is refused as not run, and there is room again
# once the others are gone. Guards against a host that many callers with large
# bodies end.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"

start_store
start_server s1 101
put_config 3 '"k1"'
# Bodies of 4 MB are allowed.
sed 's/:10000,/:4194304,/' <<<"$(declare -f put_config)" \
	>"$work/put_config.sh"
. "$work/put_config.sh"
put_config 4 '"k1"'
put_server s1 101 plain d1 ready
start_host h1 1 d1

# memory_below KB: a condition. A sanitizer's allocator keeps what was freed, so
# that the size says nothing then.
memory_below()
{
	grep -q 'lib[a-z]*san' "/proc/${pid[h1]}/maps" ||
		test "$(memory_kb)" -lt "$1"
}

memory_kb()
{
	sed -n 's/^VmRSS:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/${pid[h1]}/status"
}

# send_bodies COUNT: COUNT callers send 4 MB less a byte each, one after the
# other, and then keep still. Prints the status of each that was answered, and
# how many were not; "end" on the standard input makes them leave.
cat >"$work/bodies.py" <<'END'
import socket, sys
host, port = sys.argv[1].split(":")
size = 4 * 1024 * 1024
head = ("POST /once/body HTTP/1.1\r\nHost: h.example\r\n"
        "Authorization: Bearer k1\r\nX-Peridotpin-Attempt-Id: b%d\r\n"
        "Content-Length: %d\r\n\r\n")
held, answered = [], []
for i in range(int(sys.argv[2])):
    sock = socket.create_connection((host, int(port)), 5)
    sock.sendall((head % (i, size)).encode() + b"x" * (size - 1))
    sock.settimeout(0.1)
    try:
        lines = sock.recv(4096).decode().split("\r\n")
        retry = [line for line in lines if line.startswith("Retry-After: ")]
        answered.append(lines[0].split(" ")[1] + (" later" if retry else ""))
    except socket.timeout:
        pass
    held.append(sock)
print("held %d, refused %s" % (len(held) - len(answered),
                               " ".join(answered)), flush=True)
sys.stdin.readline()
END
mkfifo "$work/end"
python3 "$work/bodies.py" "${address[h1]}" 14 <"$work/end" >"$work/bodies" &
exec 3>"$work/end"
wait_until 20 grep -q held "$work/bodies"
expect_equal "48 MB are held, more are refused as not run" \
	"held 12, refused 503 later 503 later" "$(cat "$work/bodies")"
pass_or_fail "the host's memory is bounded ($(memory_kb) kB)" \
	memory_below $((64 * 1024))
expect_equal "small requests are served all the same" 200 \
	"$(send_request h1 small /once/a | cut -d' ' -f2)"
echo end >&3
wait %?bodies.py
expect_until "the memory is given back" memory_below $((16 * 1024))
head -c 1000000 /dev/zero >"$work/large"
expect_equal "a large body is served again" 200 \
	"$(send_request h1 large /once/a --data-binary "@$work/large" | cut -d' ' -f2)"
finish
