"""Stand-in of the platform's servers, see platform.py."""

import re
import threading
import time
import urllib.parse

import platform_faults

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


def is_mode(mode):
    return (mode in MODES + ENDLESS + tuple(SECOND_ANSWERS) or
            platform_faults.is_mode(mode))


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
            assert all(is_mode(mode) for mode in modes)
            with self.lock:
                self.modes = modes
            connection.respond(200, [], b"")
        elif url.path == "/control/delay":
            self.delay_s = int(query["ms"]) / 1000
            self.event_s = int(query.get("event_ms", 10)) / 1000
            connection.respond(200, [], b"")
        elif url.path == "/control/always":
            assert is_mode(query["mode"])
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

    def common_fields(self, headers):
        """Head fields of every answer to a request."""
        common = [(self.header_names["id"],
                   headers.get(self.header_names["id"].lower(), "")),
                  (self.header_names["stamp"], "stamp-" + self.name)]
        if self.native:
            common.append(("X-Peridot-Boot", "boot-1"))
        return common + [(self.header_names["limit"], value)
                         for value in self.limits]

    def answer_early(self, connection, method, target, headers):
        """Answers a request before its body is read, if its mode says so;
        returns False if the connection must be closed."""
        with self.lock:
            mode = self.modes[0] if self.modes else self.default_mode
        if target.startswith("/control/") or not platform_faults.is_early(mode):
            return True
        self.next_mode()
        connection.answered_early = True
        self.record_request((method, target, headers, None, b""), mode)
        return platform_faults.answer_early(
            connection, mode, self.common_fields(headers),
            self.header_names["not-run"])

    def run(self, connection, request, mode):
        """Responds to one request; returns False if the connection must be
        closed."""
        _, target, headers, _, body = request
        wait = re.search("/wait-([0-9]+)/", target)
        time.sleep(int(wait.group(1)) / 1000 if wait else self.delay_s)
        common = self.common_fields(headers)
        streams = "/stream/" in target or b'"stream":true' in body
        text = ("%s %s %d" % (self.name, target, len(body))).encode()
        if mode.startswith("status-"):
            platform_faults.answer_with_status(connection, mode, common)
            return True
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
            connection.answered_early = False
            request = connection.read_request(
                lambda *head: self.answer_early(connection, *head))
            if request is None:
                return
            if connection.answered_early:
                continue
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
