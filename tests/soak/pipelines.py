#!/usr/bin/env python3
"""Fuzz of requests that callers send one behind the other on a connection.

Usage: pipelines.py ADDRESS PID SERVER SEED DURATION_S

Sends pipelines drawn from the seed to the host process PID at ADDRESS, whose
only server is at SERVER: lookups, calls and uploads, HEAD, unknown routes and
keys, offers of another protocol, and requests that end the connection. They
are split anywhere, with pauses; some callers leave in the middle; the host is
suspended now and then, and at the end it gets SIGTERM amid the last pipelines.

Checks these invariants against a model of what must be answered:
  order   the answers are those of the requests, in their order, each whole and
          with its id
  all     each request is answered, up to one that ends the connection or to a
          planned stop
  not-run a request behind the end of its connection, or with a 503 response,
          has not run
Prints counts and every violated invariant (BREACH); exits with 1 if there is
one.
"""

import collections
import os
import random
import re
import signal
import socket
import sys
import threading
import time
import urllib.request

CALLERS = 8
MAX_REQUESTS = 12
MAX_BODY_BYTES = 3000
MAX_PARTS = 6
PAUSE_S = 0.03
FREEZE_S = 0.3
ANSWER_S = 20
LEAVE_SHARE = 0.1

# A request with what must be answered: a status, and the body or None for any.
# "ends" tells that the connection closes behind it, "reads" that the request
# has an id that the answer repeats.
Request = collections.namedtuple("Request", "id data status body ends reads")

BAD_REQUESTS = (
    (b"GARBAGE\r\n\r\n", 400),
    (b"GET /again/a HTTP/1.1\r\nBad Name: x\r\n\r\n", 400),
    (b"POST /once/a HTTP/1.1\r\nContent-Length: 3\r\n"
     b"Content-Length: 4\r\n\r\nabc", 400),
    (b"POST /once/a HTTP/1.1\r\nContent-Length: 3\r\n"
     b"Transfer-Encoding: chunked\r\n\r\nabc", 400),
    (b"POST /once/a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
     400),
    (b"POST /once/a HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", 413),
    (b"HEAD /again/a HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", 413),
    (b"GET /again/a HTTP/1.1\r\nX: " + b"x" * 5000 + b"\r\n\r\n", 431),
)


def encode_body(draw, body):
    """Returns the framing field and the bytes of a body."""
    if draw.random() < 0.6:
        return b"Content-Length: %d\r\n" % len(body), body
    data, at = b"", 0
    while at < len(body):
        size = draw.randint(1, 700)
        part = body[at:at + size]
        data += b"%x\r\n%s\r\n" % (len(part), part)
        at += size
    return b"Transfer-Encoding: chunked\r\n", data + b"0\r\n\r\n"


def make_request(draw, request_id):
    kind = draw.choice(("lookup", "lookup", "call", "upload", "upload", "head",
                        "route", "key", "upgrade", "fields", "continue",
                        "close", "bad"))
    if kind == "bad" and draw.random() < 0.5:
        data, status = draw.choice(BAD_REQUESTS)
        return Request(request_id, data, status, None, True, False)
    path = "/again/" if kind in ("lookup", "head") else "/once/"
    path += "wait-%d/%s" % (draw.choice((0, 0, 0, 20, 60)), request_id)
    if kind == "route":
        path = "/none/" + request_id
    method = {"lookup": "GET", "call": "GET", "route": "GET", "key": "GET",
              "head": "HEAD"}.get(kind, "POST")
    if kind == "route" and draw.random() < 0.5:
        method = "HEAD"
    body, fields = b"", b""
    if method == "POST":
        fields, body = encode_body(
            draw, b"x" * draw.randint(0, MAX_BODY_BYTES))
    if kind == "upgrade":
        fields += b"Connection: Upgrade\r\nUpgrade: h2c\r\n"
    if kind == "fields":
        fields += b"".join(b"X-%d: v\r\n" % i for i in range(100))
    if kind == "continue":
        fields += b"Expect: 100-continue\r\n"
    if kind == "close":
        fields += b"Connection: close\r\n"
    head = ("%s %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer %s\r\n"
            "X-Peridotpin-Attempt-Id: %s\r\n" % (
                method, path, "none" if kind == "key" else "k1", request_id))
    status = {"route": 404, "key": 401}.get(kind, 200)
    length = len(body)
    if b"chunked" in fields:
        length = sum(len(part) for part in re.findall(b"x+", body))
    answer = b"" if kind == "head" else b"s1 %s %d" % (path.encode(), length)
    return Request(request_id, head.encode() + fields + b"\r\n" + body, status,
                   answer if status == 200 else None, kind == "close", True)


class Answers:
    """Reads the answers of a connection."""

    def __init__(self, sock):
        self.file = sock.makefile("rb")

    def read(self, is_head):
        """Returns status, fields and body, or None at the end."""
        line = self.file.readline()
        if not line:
            return None
        status, fields = int(line.split(b" ")[1]), {}
        while (line := self.file.readline().strip()):
            name, value = line.split(b": ", 1)
            fields[name.lower()] = value
        if status < 200:
            return self.read(is_head)
        length = 0 if is_head else int(fields[b"content-length"])
        return status, fields, self.file.read(length)


class Fuzz:
    def __init__(self, address, pid, server, seed, duration):
        host, port = address.split(":")
        self.address = host, int(port)
        self.pid, self.server = pid, server
        self.seed, self.duration = seed, duration
        self.stopping = False
        self.lock = threading.Lock()
        self.breaches = []
        self.counts = collections.Counter()
        self.unrun = []  # ids of requests that must not have run

    def breach(self, text):
        with self.lock:
            self.breaches.append(text)

    def count(self, what):
        with self.lock:
            self.counts[what] += 1

    def send(self, draw, sock, requests):
        """Returns False if the caller has left in the middle."""
        data = b"".join(request.data for request in requests)
        cuts = sorted(draw.randrange(len(data) + 1)
                      for _ in range(draw.randint(0, MAX_PARTS)))
        leaves = draw.random() < LEAVE_SHARE
        for begin, end in zip([0] + cuts, cuts + [len(data)]):
            if leaves and end == len(data):
                return False
            try:
                sock.sendall(data[begin:end])
            except OSError:
                return True  # closed behind a request that ends it
            time.sleep(draw.random() * PAUSE_S)
        return True

    def check_answer(self, request, answer):
        status, fields, body = answer
        self.count("status %d" % status)
        if request.reads and fields.get(
                b"x-peridotpin-attempt-id") != request.id.encode():
            self.breach("order: %s was answered with %r" % (
                request.id, answer))
        elif status == 503 and self.stopping:
            self.unrun.append(request.id)
        elif status == 504 and request.status == 200:
            pass  # the server was too slow for the deadline
        elif status != request.status or request.body not in (None, body):
            self.breach("order: %s was answered with %r, not %d %r" % (
                request.id, answer, request.status, request.body))

    def check_end(self, request, answers):
        try:
            rest = answers.file.read(1)
        except OSError:
            return  # reset by bytes that came behind the request
        if rest:
            self.breach("order: bytes follow the answer to %s" % request.id)

    def read(self, sock, requests):
        """Returns the number of requests that were answered."""
        answers = Answers(sock)
        for number, request in enumerate(requests):
            try:
                answer = answers.read(request.data.startswith(b"HEAD"))
            except (OSError, ValueError, IndexError, KeyError) as error:
                if not self.stopping:
                    self.breach("all: %s: %r" % (request.id, error))
                return number
            if answer is None:
                if not self.stopping:
                    self.breach("all: %s got no answer" % request.id)
                return number
            self.check_answer(request, answer)
            if request.ends:
                self.check_end(request, answers)
                return number + 1
        return len(requests)

    def run_pipeline(self, draw, name):
        requests = [make_request(draw, "%s-%d" % (name, i))
                    for i in range(draw.randint(1, MAX_REQUESTS))]
        try:
            sock = socket.create_connection(self.address, ANSWER_S)
        except OSError:
            if not self.stopping:
                self.breach("all: %s can't connect" % name)
            return
        with sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if not self.send(draw, sock, requests):
                self.count("left")
                return
            answered = self.read(sock, requests)
        self.count("pipelines")
        with self.lock:
            self.unrun += [request.id for request in requests[answered:]]

    def run_caller(self, number):
        draw = random.Random("%d-%d" % (self.seed, number))
        serial = 0
        while not self.stopping:
            serial += 1
            self.run_pipeline(draw, "p%d-%d" % (number, serial))

    def suspend(self, draw):
        os.kill(self.pid, signal.SIGSTOP)
        time.sleep(draw.random() * FREEZE_S)
        os.kill(self.pid, signal.SIGCONT)

    def check_unrun(self):
        with urllib.request.urlopen(
                "http://%s/control/arrivals" % self.server) as response:
            ran = {line.split(" ")[1]
                   for line in response.read().decode().splitlines()}
        for request_id in self.unrun:
            if request_id in ran:
                self.breach("not-run: %s has run" % request_id)
        self.counts["not run"] = len(self.unrun)

    def run(self):
        draw = random.Random(self.seed)
        end = time.monotonic() + self.duration
        callers = [threading.Thread(target=self.run_caller, args=(number,))
                   for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        while time.monotonic() < end:
            time.sleep(draw.random())
            self.suspend(draw)
        self.stopping = True
        os.kill(self.pid, signal.SIGTERM)
        for caller in callers:
            caller.join()
        self.check_unrun()
        if not self.counts["status 200"] > self.counts["status 504"]:
            self.breach("all: most requests ran out of time")
        print("seed %d: %s" % (self.seed, ", ".join(
            "%s %d" % item for item in sorted(self.counts.items()))))
        for breach in self.breaches:
            print("BREACH %s" % breach)
        return 1 if self.breaches else 0


def main():
    address, pid, server, seed, duration = sys.argv[1:]
    sys.exit(Fuzz(address, int(pid), server, int(seed), float(duration)).run())


main()
