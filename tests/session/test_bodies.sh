#!/bin/bash
# A host bounds the bytes of request bodies that it buffers over all callers.
# Requests beyond the bound are refused as not run, and the space is free again
# after the other callers have disconnected. Guards against a host that runs out
# of memory when many callers send large bodies.
build=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/hosts.sh"

start_store
start_server s1 101
max_body_bytes=$((4 * 1024 * 1024)) put_config 4 '"k1"'
put_server s1 101 plain d1 ready
start_host h1 1 d1

# memory_below KB: a condition. It always holds in a sanitizer build, whose
# allocator keeps freed memory.
memory_below()
{
	grep -q 'lib[a-z]*san' "/proc/${pid[h1]}/maps" ||
		test "$(memory_kb)" -lt "$1"
}

# memory_kb: prints the host's resident memory.
memory_kb()
{
	sed -n 's/^VmRSS:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/${pid[h1]}/status"
}

# bodies.py ADDRESS COUNT: opens COUNT connections, one after the other, sends a
# body of 4 MiB less one byte on each and leaves it incomplete. Prints how many
# requests the host holds and the status of each that it refused. The
# connections close at the first line on the standard input.
cat >"$work/bodies.py" <<'END'
import socket, sys
host, port = sys.argv[1].split(":")
size = 4 * 1024 * 1024
head = ("POST /once/body HTTP/1.1\r\nHost: h.example\r\n"
        "Authorization: Bearer k1\r\nX-Peridotpin-Attempt-Id: b%d\r\n"
        "Content-Length: %d\r\n\r\n")
sockets, answered = [], []
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
    sockets.append(sock)
print("held %d, refused %s" % (len(sockets) - len(answered),
                               " ".join(answered)), flush=True)
sys.stdin.readline()
END
mkfifo "$work/end"
python3 "$work/bodies.py" "${address[h1]}" 14 <"$work/end" >"$work/bodies" &
exec 3>"$work/end"
wait_until 20 grep -q held "$work/bodies"
expect_equal "the host buffers 48 MiB and refuses more as not run" \
	"held 12, refused 503 later 503 later" "$(cat "$work/bodies")"
pass_or_fail "the host's memory is bounded ($(memory_kb) kB)" \
	memory_below $((64 * 1024))
expect_equal "small requests are still served" 200 \
	"$(send_request h1 small /once/a | cut -d' ' -f2)"
echo end >&3
wait %?bodies.py
expect_until "the host frees the memory after the callers disconnect" \
	memory_below $((16 * 1024))
head -c 1000000 /dev/zero >"$work/large"
expect_equal "a large body is served again" 200 \
	"$(send_request h1 large /once/a --data-binary "@$work/large" | cut -d' ' -f2)"
finish
