#!/usr/bin/env python3
"""Stand-in of the platform for session tests: its store and its servers.

Usage: platform.py store ADDRESS | platform.py server|native ADDRESS ID

Speaks the published protocol over plain sockets, so that a test can break it at
any byte. A GET of /control/... on the same address changes what it does:

  store:  /control/put?key=K&value=V   writes a record
          /control/delete?key=K        removes a record
          /control/refuse?on=1         answers 503 to every call
          /control/silent?on=1         answers nothing, and forgets the calls
                                       that it had when it answers again
          /control/forget              drops the history: watches get 410
  server: /control/mode?next=M         how the next requests are answered, see
                                       MODES and ENDLESS; several separated by
                                       commas
          /control/always?mode=M       how all others are answered
          /control/seen                lists the requests that arrived
          /control/count               how many requests have arrived so far

A server of kind "native" speaks the project's own interface instead.
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
    "late-copy", "late-id-copy", "late-same-copy", "cut-length", "cut-chunked", "cut-close",
    "end-length", "end-chunked", "cut-large",
    "drip-stream", "slow-stream", "leaving", "leaving-error", "busy",
    "pause", "pause-part", "pause-odd", "pause-negative", "pause-absurd",
    "large",
)
# Bytes without end, until the caller closes.
ENDLESS = (
    "endless-head", "endless-interim", "endless-garbage", "endless-chunked",
    "endless-close", "endless-extra", "endless-foreign", "endless-event",
    "endless-refusal",
)
EVENTS = 5
POLL_S = 0.01
SILENT_S = 30
DRIP_S = 0.3
SLOW_EVENTS = 20
SLOW_EVENT_S = 0.19
LATE_S = 0.15
LARGE_BYTES = 8 * 1024 * 1024
RETRY_AFTER = {"pause": "3", "pause-part": "0.7", "pause-odd": "soon",
               "pause-negative": "-3", "pause-absurd": "99999999999999999999"}
# Headers of the platform's protocol, and those of the project's own.
NAMES = {
    "server": {"id": "X-Peridotpin-Attempt-Id",
               "stamp": "X-Peridotpin-Server-Stamp",
               "target": "X-Peridotpin-Expect-Instance",
               "not-run": "X-Peridotpin-Not-Executed",
               "leaving": "Server-Leaving"},
    "native": {"id": "X-Peridot-Request",
               "stamp": "X-Stamp",
               "target": "X-Peridot-Endpoint",
               "not-run": "X-Peridot-Not-Run",
               "leaving": "X-Peridot-Leaving"},
}


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

    def __init__(self, name, kind):
        self.name = name
        self.names = NAMES[kind]
        self.native = kind == "native"
        self.lock = threading.Lock()
        self.modes = []
        self.usual = "ok"
        self.seen = []
        self.count = 0

    def take_mode(self):
        with self.lock:
            return self.modes.pop(0) if self.modes else self.usual

    def control(self, connection, url):
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/control/mode":
            wanted = query["next"].split(",")
            assert all(mode in MODES + ENDLESS for mode in wanted)
            with self.lock:
                self.modes = wanted
            connection.answer(200, [], b"")
        elif url.path == "/control/always":
            assert query["mode"] in MODES + ENDLESS
            self.usual = query["mode"]
            connection.answer(200, [], b"")
        elif url.path == "/control/count":
            connection.answer(200, [], str(self.count).encode())
        else:
            with self.lock:
                text = "".join(line + "\n" for line in self.seen)
                self.seen = []
            connection.answer(200, [], text.encode())

    def note(self, request, mode):
        method, target, headers, _, body = request
        resume = headers.get("last-event-id", "-")
        with self.lock:
            self.count += 1
            self.seen.append("%s %s id=%s body=%d tenant=%s resume=%s %s" % (
                method, target, headers.get(self.names["id"].lower()),
                len(body), headers.get("x-peridotpin-tenant", "-"), resume,
                mode))

    def stream(self, connection, own, after, count, pause_s=POLL_S):
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        head += "".join("%s: %s\r\n" % field for field in own)
        head += "Transfer-Encoding: chunked\r\n\r\n"
        connection.sock.sendall(head.encode())
        for number in range(after + 1, count + 1):
            event = ("id: %d\ndata: %s\n\n" % (number, self.name)).encode()
            connection.sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(pause_s)
        if self.native and count > 2:
            done = b"data: [DONE]\n\n"
            connection.sock.sendall(b"%x\r\n%s\r\n" % (len(done), done))

    def send_head(self, connection, status, fields):
        head = "HTTP/1.1 %d X\r\n" % status
        head += "".join("%s: %s\r\n" % field for field in fields)
        connection.sock.sendall(head.encode() + b"\r\n")

    def flood(self, connection, mode, own, text):
        """Sends bytes that never make up an answer's end."""
        sock = connection.sock
        chunk = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
        chunked = [("Transfer-Encoding", "chunked")]
        endless = b"x" * 16384
        if mode == "endless-head":
            sock.sendall(b"HTTP/1.1 200 OK\r\n")
            endless = b"X-Long: " + b"x" * 1000 + b"\r\n"
        elif mode == "endless-interim":
            endless = b"HTTP/1.1 100 Continue\r\n\r\n"
        elif mode == "endless-chunked":
            self.send_head(connection, 200, own + chunked)
            endless = chunk
        elif mode == "endless-close":
            self.send_head(connection, 200, own)
        elif mode == "endless-extra":
            connection.answer(200, own, text)
        elif mode == "endless-foreign":
            self.send_head(connection, 200,
                           [(own[0][0], "other"), own[1]] + chunked)
            endless = chunk
        elif mode == "endless-refusal":
            self.send_head(connection, 503, own[:1] + chunked
                           + [(self.names["not-run"], "1")])
            endless = chunk
        elif mode == "endless-event":
            self.send_head(connection, 200, own + chunked
                           + [("Content-Type", "text/event-stream")])
            sock.sendall(b"6\r\ndata: \r\n")
            endless = chunk
        while True:
            sock.sendall(endless)

    def drip(self, connection, own):
        """A stream that sends bytes, but never a whole event."""
        self.send_head(connection, 200, own + [
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked")])
        while True:
            connection.sock.sendall(b"1\r\nd\r\n")
            time.sleep(DRIP_S)

    def cut(self, connection, mode, own):
        """Breaks an answer off in the middle, by each framing."""
        part = b"a part"
        if mode == "cut-large":
            self.send_head(connection, 200, own + [
                ("Content-Length", str(LARGE_BYTES))])
            part = b"x" * (LARGE_BYTES // 8)
            connection.sock.sendall(part)
        elif mode.endswith("-length"):
            self.send_head(connection, 200, own + [("Content-Length", "100")])
            connection.sock.sendall(part)
        elif mode.endswith("-chunked"):
            self.send_head(connection, 200,
                           own + [("Transfer-Encoding", "chunked")])
            connection.sock.sendall(b"6\r\na part\r\n")
        else:
            self.send_head(connection, 200, own)
            connection.sock.sendall(part)
        time.sleep(LATE_S)  # the part arrives before the reset
        if mode.startswith("cut-"):
            connection.reset()

    def run(self, connection, request, mode):
        """Answers one request; False when the connection has ended."""
        _, target, headers, _, body = request
        own = [(self.names["id"], headers.get(self.names["id"].lower(), "")),
               (self.names["stamp"], "stamp-" + self.name)]
        if self.native:
            own.append(("X-Peridot-Boot", "boot-1"))
        streams = "/stream/" in target or b'"stream":true' in body
        text = ("%s %s %d" % (self.name, target, len(body))).encode()
        if mode == "shed":
            connection.answer(503, own[:1] + [
                (self.names["not-run"], "1")], b"")
        elif mode in RETRY_AFTER:
            connection.answer(503, own[:1] + [
                (self.names["not-run"], "1"),
                ("Retry-After", RETRY_AFTER[mode])], b"")
        elif mode == "leaving":
            connection.answer(200, own + [(self.names["leaving"], "1")], text)
        elif mode == "leaving-error":
            connection.answer(500, own + [(self.names["leaving"], "1")],
                              b"failed")
        elif mode == "late-copy":
            connection.answer(200, own, text)
            time.sleep(LATE_S)
            connection.answer(200, own, b"a late copy")
        elif mode == "late-id-copy":
            # The copy comes where the next answer is due, without an id.
            connection.answer(200, own, text)
            following = connection.read_request()
            if following is None:
                return False
            self.note(following, mode)
            connection.answer(200, own[1:], b"a late copy")
            return False
        elif mode == "late-same-copy":
            # The same with the id of the request before.
            connection.answer(200, own, text)
            following = connection.read_request()
            if following is None:
                return False
            self.note(following, mode)
            connection.answer(200, own, b"a late copy")
            return False
        elif mode == "busy":
            time.sleep(LATE_S)
            connection.answer(200, own, text)
        elif mode == "large":
            connection.answer(200, own, b"x" * LARGE_BYTES)
        elif mode in ENDLESS:
            self.flood(connection, mode, own, text)
        elif mode == "drip-stream":
            self.drip(connection, own)
        elif mode.startswith(("cut-", "end-")):
            self.cut(connection, mode, own)
            return False
        elif mode == "misdirected":
            connection.answer(421, own[:1], b"")
        elif mode == "error":
            connection.answer(500, own, b"failed")
        elif mode == "foreign":
            connection.answer(200, [(own[0][0], "other"), own[1]],
                              b"of another")
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
        elif streams:
            after = int(headers.get("last-event-id", "0"))
            whole = mode != "half-stream"
            counts = headers.get("x-peridotpin-token-counts")
            wanted = int(counts.split(",")[1]) if counts else EVENTS
            if mode == "slow-stream":
                self.stream(connection, own, after, SLOW_EVENTS, SLOW_EVENT_S)
            else:
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
            if request[2].get(self.names["target"].lower()) != self.name:
                connection.answer(421, [], b"")
                continue
            if url.path == "/v1/load":
                connection.answer(200, [("X-Peridot-Boot", "boot-1")], b"{}")
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
    part = Store() if kind == "store" else Server(sys.argv[3], kind)
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
