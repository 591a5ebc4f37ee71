#!/usr/bin/env python3
"""Stand-in of the platform for session tests: its store and its servers.

Usage: platform.py store ADDRESS | platform.py server|native ADDRESS ID

Implements the published protocol over plain sockets, so that a test can break
it at any byte. A GET of /control/... on the same address controls it:

  store:  /control/put?key=K&value=V   writes a record
          /control/delete?key=K        removes a record
          /control/refuse?on=1         refuses every call with 503
          /control/silent?on=1         sends no responses; requests open in
                                       that time never get one
          /control/forget              compacts the history: watches get 410
          /control/gone?on=1           answers every watch with 410
          /control/restore?revision=N  goes back to the records of revision N and
                                       cuts the watches; the era rises by one
          /control/era?value=V         states V as the era instead; "none" for no
                                       era, "own" for the real one again
          /control/calls               number of calls since the start
          /control/revision            the current revision
  server: /control/mode?next=M         response modes of the next requests, of
                                       MODES and ENDLESS, separated by commas
          /control/always?mode=M       response mode of all other requests
          /control/limit?value=V&...   states the limits V in all answers; none
                                       without V
          /control/repeat?on=1         repeats a refusal, after it has run the
                                       request, when its id comes again on the
                                       same connection
          /control/delay?ms=N&event_ms=E
                                       waits N ms before each answer and E ms
                                       after each event of a stream
          /control/greet?on=1          sends a refusal without an id at the start
                                       of each connection, then serves it
          /control/arrivals            time of arrival in ms and id of each request
                                       since the start, one a line
          /control/seen                lists the requests since the last list
          /control/count               number of requests since the start
          /control/crash?part=P&how=H  ends all connections and refuses new ones
                                       for CRASH_S, on each request whose prompt
                                       has the part P, once the answer has begun:
                                       within its head (head), or within an event
                                       of a stream without a length (event);
                                       prints a line "crash" for each
          /control/crash?body=B&how=H  the same, on each request with the body B
          /control/crash               the same, once, now

A server waits N ms before its answer if the path has a part wait-N.

A server of kind "native" serves the endpoint interface of peridot-routerd
instead.
"""

import base64
import json
import re
import socket
import sys
import threading
import time
import urllib.parse

MODES = (
    "ok", "shed", "misdirected", "reset", "silent", "error", "truncate",
    "foreign", "unstamped", "extra", "garbage", "close-after", "half-stream",
    "late-copy", "late-id-copy", "late-same-copy", "cut-length", "cut-chunked", "cut-close",
    "end-length", "end-chunked", "cut-large", "cut-head", "end-head",
    "drip-stream", "slow-stream", "empty-stream", "leaving", "leaving-error", "busy",
    "pause", "pause-part", "pause-odd", "pause-negative", "pause-absurd",
    "large", "late-refusal", "late-id-refusal", "half-unnumbered",
)
# Answers that are no continuation of a stream: status, head fields beside id
# and stamp, framing.
SECOND_ANSWERS = {
    "error-length": (500, [], "length"),
    "error-chunked": (500, [], "chunked"),
    "error-close": (500, [], "close"),
    "error-events": (500, [("Content-Type", "text/event-stream")], "length"),
    "redirect": (302, [("Location", "http://other.example/")], "length"),
    "created": (201, [("Content-Type", "text/event-stream")], "chunked"),
    "other-type": (200, [("Content-Type", "application/json")], "chunked"),
    "other-length": (200, [("Content-Type", "text/html")], "length"),
    "no-ids": (200, [("Content-Type", "text/event-stream")], "chunked"),
    "other-close": (200, [("Content-Type", "text/html")], "close"),
}
UNNUMBERED = b"data: no id\n\n"
SECOND_BODY = b"id: 3\ndata: a second answer\n\n"
# Endless responses, sent until the caller closes the connection.
ENDLESS = (
    "endless-head", "endless-interim", "endless-garbage", "endless-chunked",
    "endless-close", "endless-extra", "endless-foreign", "endless-event",
    "endless-refusal",
)
CRASH_S = 1.2
CRASH_START = {
    "head": b"HTTP/1.1 200 OK\r\n",
    "event": b"HTTP/1.1 200 OK\r\nX-Peridotpin-Attempt-Id: %(id)s\r\n"
             b"X-Peridotpin-Server-Stamp: crash\r\n\r\nid: 1\ndata",
}
EVENTS = 5
EVENT_S = 0.01
SILENT_S = 30
DRIP_S = 0.3
SLOW_EVENTS = 20
SLOW_EVENT_S = 0.19
LATE_S = 0.15
LARGE_BYTES = 8 * 1024 * 1024
RETRY_AFTER = {"pause": "3", "pause-part": "0.7", "pause-odd": "soon",
               "pause-negative": "-3", "pause-absurd": "99999999999999999999"}
# Headers of the platform's protocol and of the endpoint interface.
HEADER_NAMES = {
    "server": {"id": "X-Peridotpin-Attempt-Id",
               "stamp": "X-Peridotpin-Server-Stamp",
               "target": "X-Peridotpin-Expect-Instance",
               "not-run": "X-Peridotpin-Not-Executed",
               "leaving": "Server-Leaving",
               "limit": "Server-Limit",
               "parts": "X-Peridotpin-Prompt-Prefix"},
    "native": {"id": "X-Peridot-Request",
               "stamp": "X-Stamp",
               "target": "X-Peridot-Endpoint",
               "not-run": "X-Peridot-Not-Run",
               "leaving": "X-Peridot-Leaving",
               "limit": "X-Peridot-Limit",
               "parts": "X-Parts"},
}


class Connection:
    """One accepted connection with buffered reading of requests."""

    def __init__(self, sock):
        self.sock = sock
        self.data = b""
        self.method = None  # of the latest request
        self.refused_ids = set()

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
        self.method = method
        return method, target, headers, lines[1:], body

    def respond(self, status, headers, body, close=False):
        text = "HTTP/1.1 %d X\r\n" % status
        for name, value in headers:
            text += "%s: %s\r\n" % (name, value)
        text += "Content-Length: %d\r\n" % len(body)
        if close:
            text += "Connection: close\r\n"
        self.sock.sendall(text.encode() + b"\r\n" +
                          (b"" if self.method == "HEAD" else body))

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
        self.oldest_watchable = 0
        self.revision = 1
        self.era = 1
        self.stated_era = "own"
        self.calls = 0
        self.refuses = False
        self.gone = False
        self.silent = False
        self.silence_count = 0
        self.delay_s = 0

    def change(self, key, value):
        with self.lock:
            self.revision += 1
            event = {"key": key, "revision": self.revision}
            if value is None:
                event["deleted"] = True
            else:
                encoded = base64.b64encode(value.encode()).decode()
                event.update(value=encoded, created=self.revision, lease=0)
            self.apply(event)
            self.history.append(event)
            self.lock.notify_all()

    def apply(self, event):
        if "deleted" in event:
            self.records.pop(event["key"], None)
        else:
            self.records[event["key"]] = event

    def restore(self, revision):
        with self.lock:
            self.history = [e for e in self.history
                            if e["revision"] <= revision]
            self.records = {}
            for event in self.history:
                self.apply(event)
            self.revision = revision
            self.era += 1
            self.lock.notify_all()

    def era_headers(self):
        if self.stated_era == "none":
            return []
        own = self.stated_era == "own"
        return [("Store-Era", str(self.era) if own else self.stated_era)]

    def watch(self, prefix, after, wait_s):
        end = time.monotonic() + wait_s
        with self.lock:
            while True:
                if (self.gone or after < self.oldest_watchable or
                        after > self.revision):
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
            self.refuses = query["on"] == "1"
            return 200, {}
        if path == "/control/gone":
            with self.lock:
                self.gone = query["on"] == "1"
                self.lock.notify_all()
            return 200, {}
        if path == "/control/silent":
            self.silent = query["on"] == "1"
            self.silence_count += self.silent
            return 200, {}
        if path == "/control/delay":
            self.delay_s = int(query["ms"]) / 1000
            return 200, {}
        if path == "/control/forget":
            with self.lock:
                self.oldest_watchable = self.revision + 1
                self.revision += 1
                self.lock.notify_all()
            return 200, {}
        if path == "/control/restore":
            self.restore(int(query["revision"]))
            return 200, {}
        if path == "/control/era":
            self.stated_era = query["value"]
            return 200, {}
        if path == "/control/calls":
            return 200, self.calls
        if path == "/control/revision":
            return 200, self.revision
        self.calls += 1
        if self.refuses:
            return 503, {}
        if path == "/peridotpin/kv-range":
            return self.page(query["prefix"], query.get("after", ""))
        if path == "/peridotpin/kv-watch":
            return self.watch(query["prefix"], int(query["after"]),
                              int(query["wait_ms"]) / 1000)
        return 404, {}

    def page(self, prefix, after):
        """Returns two records a page, so that most listings have several
        pages."""
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
            silence_count = self.silence_count
            era = self.era
            status, body = self.handle(url.path, query)
            if not url.path.startswith("/control/"):
                time.sleep(self.delay_s)
            if era != self.era and url.path.startswith("/peridotpin/"):
                connection.sock.close()
                return
            if not url.path.startswith("/control/") and (
                    self.silent or self.silence_count != silence_count):
                connection.read_request()  # returns when the caller closes
                return
            connection.respond(status, [("Content-Type", "application/json")] +
                               self.era_headers(), json.dumps(body).encode())


class Server:
    """A server of one service: plain responses and event streams."""

    def __init__(self, name, kind):
        self.name = name
        self.header_names = HEADER_NAMES[kind]
        self.native = kind == "native"
        self.lock = threading.Lock()
        self.modes = []
        self.default_mode = "ok"
        self.seen = []
        self.count = 0
        self.arrivals = []
        self.limits = []
        self.delay_s = 0  # before each answer
        self.event_s = EVENT_S
        self.repeats = False
        self.greets = False
        self.crash_part = None
        self.crash_body = None
        self.crash_start = b""  # sent before a crash
        self.crash_listener = None  # set by main()

    def is_crashing(self, headers, body):
        parts = headers.get(self.header_names["parts"].lower(), "").split(",")
        return (body == self.crash_body or
                self.crash_part in [part.split(":")[0] for part in parts])

    def next_mode(self):
        with self.lock:
            return self.modes.pop(0) if self.modes else self.default_mode

    def control(self, connection, url):
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/control/mode":
            modes = query["next"].split(",")
            assert all(mode in MODES + ENDLESS + tuple(SECOND_ANSWERS) for mode in modes)
            with self.lock:
                self.modes = modes
            connection.respond(200, [], b"")
        elif url.path == "/control/delay":
            self.delay_s = int(query["ms"]) / 1000
            self.event_s = int(query.get("event_ms", 10)) / 1000
            connection.respond(200, [], b"")
        elif url.path == "/control/always":
            assert query["mode"] in MODES + ENDLESS + tuple(SECOND_ANSWERS)
            self.default_mode = query["mode"]
            connection.respond(200, [], b"")
        elif url.path == "/control/crash":
            connection.respond(200, [], b"")
            if "how" in query:
                self.crash_part = query.get("part")
                self.crash_body = query.get("body", "").encode() or None
                self.crash_start = CRASH_START[query["how"]]
            else:
                self.crash_listener()
        elif url.path == "/control/limit":
            self.limits = urllib.parse.parse_qs(url.query).get("value", [])
            connection.respond(200, [], b"")
        elif url.path in ("/control/repeat", "/control/greet"):
            setattr(self, url.path[len("/control/"):] + "s",
                    query["on"] == "1")
            connection.respond(200, [], b"")
        elif url.path == "/control/arrivals":
            with self.lock:
                text = "".join("%d %s\n" % arrival
                               for arrival in self.arrivals)
            connection.respond(200, [], text.encode())
        elif url.path == "/control/count":
            connection.respond(200, [], str(self.count).encode())
        else:
            with self.lock:
                text = "".join(line + "\n" for line in self.seen)
                self.seen = []
            connection.respond(200, [], text.encode())

    def record_request(self, request, mode):
        method, target, headers, _, body = request
        resume = headers.get("last-event-id", "-")
        with self.lock:
            self.count += 1
            self.arrivals.append((
                time.time() * 1000,
                headers.get(self.header_names["id"].lower())))
            self.seen.append("%s %s id=%s body=%d tenant=%s resume=%s %s" % (
                method, target, headers.get(self.header_names["id"].lower()),
                len(body), headers.get("x-peridotpin-tenant", "-"), resume,
                mode))

    def stream(self, connection, common, after, count, pause_s=EVENT_S):
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        head += "".join("%s: %s\r\n" % field for field in common)
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

    def send_endless(self, connection, mode, common, text):
        """Sends a response that never ends."""
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
            self.send_head(connection, 200, common + chunked)
            endless = chunk
        elif mode == "endless-close":
            self.send_head(connection, 200, common)
        elif mode == "endless-extra":
            connection.respond(200, common, text)
        elif mode == "endless-foreign":
            self.send_head(connection, 200,
                           [(common[0][0], "other"), common[1]] + chunked)
            endless = chunk
        elif mode == "endless-refusal":
            self.send_head(connection, 503, common[:1] + chunked
                           + [(self.header_names["not-run"], "1")])
            endless = chunk
        elif mode == "endless-event":
            self.send_head(connection, 200, common + chunked
                           + [("Content-Type", "text/event-stream")])
            sock.sendall(b"6\r\ndata: \r\n")
            endless = chunk
        while True:
            sock.sendall(endless)

    def refuse(self, connection, request_id):
        fields = [(self.header_names["not-run"], "1")]
        if request_id:
            fields.append((self.header_names["id"], request_id))
            connection.refused_ids.add(request_id)
        connection.respond(503, fields, b"")

    def send_late_refusal(self, connection, request_id, common):
        """Refuses a request and repeats the refusal before the answer to the
        next one; without an id, in place of that answer."""
        self.refuse(connection, request_id)
        following = connection.read_request()
        if following is None:
            return False
        self.record_request(following, "late")
        self.refuse(connection, common and request_id)
        if not common:
            return False
        own = following[2][self.header_names["id"].lower()]
        connection.respond(200, [(self.header_names["id"], own)] + common[1:],
                           b"after a late refusal")
        return True

    def send_second_answer(self, connection, mode, common):
        status, fields, framing = SECOND_ANSWERS[mode]
        text = SECOND_BODY
        if mode == "no-ids":
            text = text.split(b"\n", 1)[1]
        if framing == "length":
            connection.respond(status, common + fields, text)
            return True
        if framing == "chunked":
            fields = fields + [("Transfer-Encoding", "chunked")]
        self.send_head(connection, status, common + fields)
        if framing == "chunked":
            text = b"%x\r\n%s\r\n0\r\n\r\n" % (len(text), text)
        connection.sock.sendall(text)
        return framing == "chunked"

    def send_drip(self, connection, common):
        """Sends a stream of single bytes without a complete event."""
        self.send_head(connection, 200, common + [
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked")])
        while True:
            connection.sock.sendall(b"1\r\nd\r\n")
            time.sleep(DRIP_S)

    def send_truncated(self, connection, mode, common):
        """Sends a truncated response in the framing that the mode names."""
        part = b"a part"
        if mode == "cut-large":
            self.send_head(connection, 200, common + [
                ("Content-Length", str(LARGE_BYTES))])
            part = b"x" * (LARGE_BYTES // 8)
            connection.sock.sendall(part)
        elif mode.endswith("-head"):
            # The framing would follow.
            connection.sock.sendall("".join(
                ["HTTP/1.1 200 X\r\n"] +
                ["%s: %s\r\n" % field for field in common]).encode())
        elif mode.endswith("-length"):
            self.send_head(connection, 200,
                           common + [("Content-Length", "100")])
            connection.sock.sendall(part)
        elif mode.endswith("-chunked"):
            self.send_head(connection, 200,
                           common + [("Transfer-Encoding", "chunked")])
            connection.sock.sendall(b"6\r\na part\r\n")
        else:
            self.send_head(connection, 200, common)
            connection.sock.sendall(part)
        # The partial response must arrive before the reset.
        time.sleep(LATE_S)
        if mode.startswith("cut-"):
            connection.reset()

    def run(self, connection, request, mode):
        """Responds to one request; returns False if the connection must be
        closed."""
        _, target, headers, _, body = request
        wait = re.search("/wait-([0-9]+)/", target)
        time.sleep(int(wait.group(1)) / 1000 if wait else self.delay_s)
        common = [(self.header_names["id"],
                   headers.get(self.header_names["id"].lower(), "")),
                  (self.header_names["stamp"], "stamp-" + self.name)]
        if self.native:
            common.append(("X-Peridot-Boot", "boot-1"))
        common += [(self.header_names["limit"], value)
                   for value in self.limits]
        streams = "/stream/" in target or b'"stream":true' in body
        text = ("%s %s %d" % (self.name, target, len(body))).encode()
        if mode in SECOND_ANSWERS:
            return self.send_second_answer(connection, mode, common)
        if mode == "late-refusal":
            return self.send_late_refusal(connection, common[0][1], common)
        if mode == "late-id-refusal":
            return self.send_late_refusal(connection, common[0][1], None)
        if self.repeats and common[0][1] in connection.refused_ids:
            self.refuse(connection, common[0][1])
            return True
        if mode == "shed" and self.repeats:
            self.refuse(connection, common[0][1])
        elif mode == "shed":
            connection.respond(503, common[:1] + [
                (self.header_names["not-run"], "1")], b"")
        elif mode in RETRY_AFTER:
            connection.respond(503, common[:1] + [
                (self.header_names["not-run"], "1"),
                ("Retry-After", RETRY_AFTER[mode])], b"")
        elif mode == "leaving":
            connection.respond(200,
                               common + [(self.header_names["leaving"], "1")],
                               text)
        elif mode == "leaving-error":
            connection.respond(500,
                               common + [(self.header_names["leaving"], "1")],
                               b"failed")
        elif mode == "late-copy":
            connection.respond(200, common, text)
            time.sleep(LATE_S)
            connection.respond(200, common, b"a late copy")
        elif mode == "late-id-copy":
            # A duplicate without an id replaces the next response.
            connection.respond(200, common, text)
            following = connection.read_request()
            if following is None:
                return False
            self.record_request(following, mode)
            connection.respond(200, common[1:], b"a late copy")
            return False
        elif mode == "late-same-copy":
            # A duplicate with the id of the first request replaces the next
            # response.
            connection.respond(200, common, text)
            following = connection.read_request()
            if following is None:
                return False
            self.record_request(following, mode)
            connection.respond(200, common, b"a late copy")
            return False
        elif mode == "busy":
            time.sleep(LATE_S)
            connection.respond(200, common, text)
        elif mode == "large":
            connection.respond(200, common, b"x" * LARGE_BYTES)
        elif mode in ENDLESS:
            self.send_endless(connection, mode, common, text)
        elif mode == "drip-stream":
            self.send_drip(connection, common)
        elif mode.startswith(("cut-", "end-")):
            self.send_truncated(connection, mode, common)
            return False
        elif mode == "misdirected":
            connection.respond(421, common[:1], b"")
        elif mode == "error":
            connection.respond(500, common, b"failed")
        elif mode == "foreign":
            connection.respond(200, [(common[0][0], "other"), common[1]],
                               b"of another")
            connection.respond(200, common, text)
        elif mode == "unstamped":
            connection.respond(200, common[:1], text)
        elif mode == "extra":
            connection.respond(200, common, text)
            connection.respond(200, common, b"once more")
        elif mode == "close-after":
            connection.respond(200, common, text, close=True)
            return False
        elif mode == "reset":
            connection.reset()
            return False
        elif mode == "silent":
            connection.sock.settimeout(SILENT_S)
            if not connection.sock.recv(1):
                with self.lock:
                    self.seen.append("closed id=%s" % common[0][1])
            return False
        elif mode == "garbage":
            connection.sock.sendall(b"\x00\x01 no answer")
            return False
        elif mode == "truncate":
            connection.sock.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort")
            return False
        elif mode == "half-unnumbered":
            self.send_head(connection, 200, common + [
                ("Content-Type", "text/event-stream"),
                ("Transfer-Encoding", "chunked")])
            connection.sock.sendall(b"%x\r\n%s\r\n" % (
                2 * len(UNNUMBERED), 2 * UNNUMBERED))
            time.sleep(LATE_S)
            connection.reset()
            return False
        elif mode == "empty-stream":
            self.send_head(connection, 200, common)
            return False
        elif streams and connection.method == "HEAD":
            self.send_head(connection, 200, common + [
                ("Content-Type", "text/event-stream"),
                ("Transfer-Encoding", "chunked")])
        elif streams:
            after = int(headers.get("last-event-id", "0"))
            complete = mode != "half-stream"
            counts = headers.get("x-peridotpin-token-counts")
            event_count = int(counts.split(",")[1]) if counts else EVENTS
            if mode == "slow-stream":
                self.stream(connection, common, after, SLOW_EVENTS,
                            SLOW_EVENT_S)
            else:
                self.stream(connection, common, after,
                            event_count if complete else 2, self.event_s)
            if not complete:
                connection.sock.sendall(b"10\r\nid: 3\nda")
                connection.reset()
                return False
            connection.sock.sendall(b"0\r\n\r\n")
        else:
            connection.respond(200, common, text)
        return True

    def serve(self, connection):
        if self.greets:
            self.refuse(connection, None)
        while True:
            request = connection.read_request()
            if request is None:
                return
            url = urllib.parse.urlsplit(request[1])
            if url.path.startswith("/control/"):
                self.control(connection, url)
                continue
            if (request[2].get(self.header_names["target"].lower()) !=
                    self.name):
                connection.respond(421, [], b"")
                continue
            if url.path == "/v1/load":
                connection.respond(200, [("X-Peridot-Boot", "boot-1")], b"{}")
                continue
            mode = self.next_mode()
            self.record_request(request, mode)
            if self.is_crashing(request[2], request[4]):
                print("crash", flush=True)
                connection.sock.sendall(self.crash_start % {
                    b"id": request[2][self.header_names["id"].lower()].encode()})
                self.crash_listener()
                return
            if not self.run(connection, request, mode):
                return


class Listener:
    """A listening socket that can close with all its connections."""

    def __init__(self, address):
        host, port = address.split(":")
        self.address = (host, int(port))
        self.lock = threading.Lock()
        self.open()

    def open(self):
        self.socks = []
        self.down_s = 0
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(self.address)
        self.sock.listen(64)

    def crash(self):
        with self.lock:
            self.down_s = CRASH_S
            self.sock.shutdown(socket.SHUT_RDWR)
            for sock in self.socks:
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # the other side has closed it

    def accept(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                self.sock.close()
                time.sleep(self.down_s)
                self.open()
                continue
            with self.lock:
                self.socks = [s for s in self.socks if s.fileno() >= 0]
                self.socks.append(sock)
            return sock


def run_connection(standin, sock):
    try:
        standin.serve(Connection(sock))
    except (ConnectionError, OSError, ValueError):
        pass  # the test closed or reset the connection
    finally:
        sock.close()


def main():
    kind, address = sys.argv[1:3]
    standin = Store() if kind == "store" else Server(sys.argv[3], kind)
    listener = Listener(address)
    standin.crash_listener = listener.crash
    print("ready %s" % address, flush=True)
    while True:
        sock = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=run_connection, args=(standin, sock),
                         daemon=True).start()


main()
