"""crowd.py KIND ADDRESS PATH COUNT BODY_BYTES HEAD_BYTES: opens COUNT connections
that misuse the host as KIND says, and keeps them until the standard input ends.

Prints "sent" once no connection has made progress for 0.6 s, or after 4 s.
Connections that the host closes are not opened again.
"""
import selectors, socket, sys, time

kind, address, path = sys.argv[1:4]
count, body_bytes, head_bytes = (int(text) for text in sys.argv[4:7])
HEAD = ("%s {} HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
        "X-Peridotpin-Attempt-Id: c{}\r\n")
PIECE = 1000
AHEAD = 2000
CHUNK = b"3e8\r\n" + b"x" * PIECE + b"\r\n"


def head(method, number):
    return (HEAD % method).format(path, number).encode()


def upload(number, length):
    return head("POST", number) + b"Content-Length: %d\r\n\r\n" % length


def chunked(number, length):
    return (head("POST", number) + b"Transfer-Encoding: chunked\r\n\r\n"
            + CHUNK * (length // PIECE))


def fields(number):
    start = head("GET", number)
    return start + b"a:\r\n" * ((head_bytes - len(start)) // 4 - 8)


def ahead(number):
    return b"".join(head("GET", "%d-%d" % (number, i)) + b"\r\n" for i in range(AHEAD))


BYTES = {
    "whole": lambda n: upload(n, body_bytes) + b"x" * body_bytes,
    "short": lambda n: upload(n, body_bytes) + b"x" * (body_bytes - 1),
    "pieces": lambda n: upload(n, body_bytes) + b"x" * (body_bytes - 1),
    "chunks": lambda n: chunked(n, body_bytes),
    "large": lambda n: upload(n, 20 * body_bytes) + b"x" * (4 * body_bytes),
    "large-chunks": lambda n: chunked(n, 4 * body_bytes),
    "fields": lambda n: fields(n) + b"\r\n",
    "fields-short": fields,
    "ahead": ahead,
    "slow-send": lambda n: upload(n, body_bytes) + b"x" * (body_bytes - 1),
    "slow-read": ahead,
    "half": lambda n: upload(n, body_bytes) + b"x" * (body_bytes // 2),
    "idle": lambda n: b"",
}
READS = {"whole", "short", "pieces", "chunks", "large", "large-chunks", "fields"}


class Client:
    def __init__(self, number):
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.connect_ex((host, port))
        self.left = memoryview(BYTES[kind](number))

    def step(self):
        """Sends and reads once; false without progress, None when closed."""
        progress = False
        piece = {"pieces": PIECE, "slow-send": 20}.get(kind, 1 << 18)
        try:
            if self.left:
                sent = self.sock.send(self.left[:piece])
                self.left = self.left[sent:]
                progress = kind != "slow-send"
        except (BlockingIOError, OSError) as error:
            if not isinstance(error, BlockingIOError):
                return None
        try:
            if kind in READS or kind == "slow-read":
                data = self.sock.recv(1 if kind == "slow-read" else 1 << 16)
                if not data:
                    return None
                progress = progress or kind != "slow-read"
        except BlockingIOError:
            pass
        except OSError:
            return None
        return progress


host, port = address.split(":")
port = int(port)
clients = [Client(number) for number in range(count)]
stdin = selectors.DefaultSelector()
stdin.register(sys.stdin, selectors.EVENT_READ)
start = last = time.monotonic()
said = False
while not stdin.select(0.01):
    now = time.monotonic()
    for client in list(clients):
        progress = client.step()
        if progress is None:
            client.sock.close()
            clients.remove(client)
        if progress is not False:
            last = now
    if not said and (now - last > 0.6 or now - start > 4):
        said = True
        print("sent", flush=True)
    elif said:
        time.sleep(0.05)
