#!/usr/bin/env python3
"""Stand-in of the platform for session tests: its store and its servers.

Usage: platform.py store ADDRESS | platform.py server ADDRESS ID [NEXT]

Speaks the published protocol over plain sockets, so that a test can break it at
any byte. A GET of /control/... on the same address changes what it does:

  store:  /control/put?key=K&value=V   writes a record
          /control/delete?key=K        removes a record
          /control/refuse?on=1         answers 503 to every call
          /control/silent?on=1         answers nothing, and forgets the calls
                                       that it had when it answers again
          /control/forget              drops the history: watches get 410
  server: /control/mode?next=M         how the next requests are answered, see
                                       MODES; several separated by commas
          /control/seen                lists the requests that arrived
"""

import base64
import json
import socket
import sys
import threading
import time
import urllib.parse

MODES = (
    "ok", "shed", "misdirected", "reset", "silent", "error", "truncate",
    "foreign", "unstamped", "extra", "garbage", "close-after", "half-stream",
)
EVENTS = 5
POLL_S = 0.01
SILENT_S = 30


class Connection:
    """One accepted connection with buffered reading of requests."""

    def __init__(self, sock):
        self.sock = sock
        self.data = b""

    def read_until(self, mark):
        while mark not in self.data:
            more = self.sock.recv(65536)
            if not more:
                return None
            self.data += more
        head, self.data = self.data.split(mark, 1)
        return head

    def read_request(self):
        head = self.read_until(b"\r\n\r\n")
        if head is None:
            return None
        lines = head.decode("latin-1").split("\r\n")
        fields = [line.split(": ", 1) for line in lines[1:]]
        headers = {name.lower(): value for name, value in fields}
        length = int(headers.get("content-length", 0))
        while len(self.data) < length:
            more = self.sock.recv(65536)
            if not more:
                return None
            self.data += more
        body, self.data = self.data[:length], self.data[length:]
        method, target, _ = lines[0].split(" ")
        return method, target, headers, lines[1:], body

    def answer(self, status, headers, body, close=False):
        text = "HTTP/1.1 %d X\r\n" % status
        for name, value in headers:
            text += "%s: %s\r\n" % (name, value)
        text += "Content-Length: %d\r\n" % len(body)
        if close:
            text += "Connection: close\r\n"
        self.sock.sendall(text.encode() + b"\r\n" + body)

    def reset(self):
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.sock.close()


class Store:
    """Records with revisions, listings and watches."""

    def __init__(self):
        self.lock = threading.Condition()
        self.records = {}
        self.history = []
        self.first = 0
        self.revision = 1
        self.refusing = False
        self.silent = False
        self.silences = 0

    def change(self, key, value):
        with self.lock:
            self.revision += 1
            event = {"key": key, "revision": self.revision}
            if value is None:
                self.records.pop(key, None)
                event["deleted"] = True
            else:
                encoded = base64.b64encode(value.encode()).decode()
                event.update(value=encoded, created=self.revision, lease=0)
                self.records[key] = event
            self.history.append(event)
            self.lock.notify_all()

    def watch(self, prefix, after, wait_s):
        end = time.monotonic() + wait_s
        with self.lock:
            while True:
                if after < self.first:
                    return 410, {}
                events = [e for e in self.history if e["revision"] > after
                          and e["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events,
                                 "at_revision": self.revision}
                self.lock.wait(left)

    def handle(self, path, query):
        if path == "/control/put":
            self.change(query["key"], query["value"])
            return 200, {}
        if path == "/control/delete":
            self.change(query["key"], None)
            return 200, {}
        if path == "/control/refuse":
            self.refusing = query["on"] == "1"
            return 200, {}
        if path == "/control/silent":
            self.silent = query["on"] == "1"
            self.silences += self.silent
            return 200, {}
        if path == "/control/forget":
            with self.lock:
                self.first = self.revision + 1
                self.revision += 1
                self.lock.notify_all()
            return 200, {}
        if self.refusing:
            return 503, {}
        if path == "/peridotpin/kv-range":
            return self.page(query["prefix"], query.get("after", ""))
        if path == "/peridotpin/kv-watch":
            return self.watch(query["prefix"], int(query["after"]),
                              int(query["wait_ms"]) / 1000)
        return 404, {}

    def page(self, prefix, after):
        """Two records a page, so that every listing has several."""
        with self.lock:
            keys = sorted(k for k in self.records
                          if k.startswith(prefix) and k > after)
            entries = [self.records[k] for k in keys[:2]]
            return 200, {"entries": entries, "has_more": len(keys) > 2,
                         "at_revision": self.revision}

    def serve(self, connection):
        while True:
            request = connection.read_request()
            if request is None:
                return
            url = urllib.parse.urlsplit(request[1])
            query = dict(urllib.parse.parse_qsl(url.query,
                                                keep_blank_values=True))
            silences = self.silences
            status, body = self.handle(url.path, query)
            if not url.path.startswith("/control/") and (
                    self.silent or self.silences != silences):
                connection.read_request()  # until the caller gives up
                return
            connection.answer(status, [("Content-Type", "application/json")],
                              json.dumps(body).encode())


class Server:
    """A server of one service: plain answers and streams of events."""

    def __init__(self, name):
        self.name = name
        self.lock = threading.Lock()
        self.modes = []
        self.seen = []

    def take_mode(self):
        with self.lock:
            return self.modes.pop(0) if self.modes else "ok"

    def control(self, connection, url):
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/control/mode":
            wanted = query["next"].split(",")
            assert all(mode in MODES for mode in wanted)
            with self.lock:
                self.modes = wanted
            connection.answer(200, [], b"")
        else:
            with self.lock:
                text = "".join(line + "\n" for line in self.seen)
                self.seen = []
            connection.answer(200, [], text.encode())

    def note(self, request, mode):
        method, target, headers, _, body = request
        resume = headers.get("last-event-id", "-")
        with self.lock:
            self.seen.append("%s %s id=%s body=%d tenant=%s resume=%s %s" % (
                method, target, headers.get("x-peridotpin-attempt-id"),
                len(body), headers.get("x-peridotpin-tenant", "-"), resume,
                mode))

    def stream(self, connection, own, after, count):
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        head += "".join("%s: %s\r\n" % field for field in own)
        head += "Transfer-Encoding: chunked\r\n\r\n"
        connection.sock.sendall(head.encode())
        for number in range(after + 1, count + 1):
            event = ("id: %d\ndata: %s\n\n" % (number, self.name)).encode()
            connection.sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(POLL_S)

    def run(self, connection, request, mode):
        """Answers one request; False when the connection has ended."""
        _, target, headers, _, body = request
        own = [("X-Peridotpin-Attempt-Id",
                headers.get("x-peridotpin-attempt-id", "")),
               ("X-Peridotpin-Server-Stamp", "stamp-" + self.name)]
        text = ("%s %s %d" % (self.name, target, len(body))).encode()
        if mode == "shed":
            connection.answer(503, own[:1] + [
                ("X-Peridotpin-Not-Executed", "1")], b"")
        elif mode == "misdirected":
            connection.answer(421, own[:1], b"")
        elif mode == "error":
            connection.answer(500, own, b"failed")
        elif mode == "foreign":
            connection.answer(200, [("X-Peridotpin-Attempt-Id", "other"),
                                    own[1]], b"of another")
            connection.answer(200, own, text)
        elif mode == "unstamped":
            connection.answer(200, own[:1], text)
        elif mode == "extra":
            connection.answer(200, own, text)
            connection.answer(200, own, b"once more")
        elif mode == "close-after":
            connection.answer(200, own, text, close=True)
            return False
        elif mode == "reset":
            connection.reset()
            return False
        elif mode == "silent":
            connection.sock.settimeout(SILENT_S)
            if not connection.sock.recv(1):
                with self.lock:
                    self.seen.append("closed id=%s" % own[0][1])
            return False
        elif mode == "garbage":
            connection.sock.sendall(b"\x00\x01 no answer")
            return False
        elif mode == "truncate":
            connection.sock.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort")
            return False
        elif "/stream/" in target:
            after = int(headers.get("last-event-id", "0"))
            whole = mode != "half-stream"
            counts = headers.get("x-peridotpin-token-counts")
            wanted = int(counts.split(",")[1]) if counts else EVENTS
            self.stream(connection, own, after, wanted if whole else 2)
            if not whole:
                connection.sock.sendall(b"10\r\nid: 3\nda")
                connection.reset()
                return False
            connection.sock.sendall(b"0\r\n\r\n")
        else:
            connection.answer(200, own, text)
        return True

    def serve(self, connection):
        while True:
            request = connection.read_request()
            if request is None:
                return
            url = urllib.parse.urlsplit(request[1])
            if url.path.startswith("/control/"):
                self.control(connection, url)
                continue
            if request[2].get("x-peridotpin-expect-instance") != self.name:
                connection.answer(421, [], b"")
                continue
            mode = self.take_mode()
            self.note(request, mode)
            if not self.run(connection, request, mode):
                return


def run_connection(part, sock):
    try:
        part.serve(Connection(sock))
    except (ConnectionError, OSError, ValueError):
        pass  # the test broke the connection
    finally:
        sock.close()


def main():
    kind, address = sys.argv[1:3]
    part = Store() if kind == "store" else Server(sys.argv[3])
    host, port = address.split(":")
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(64)
    print("ready %s" % address, flush=True)
    while True:
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=run_connection, args=(part, sock),
                         daemon=True).start()


main()
