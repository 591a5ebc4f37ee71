"""Stand-ins for the platform's store, for servers and for clients, and the
start of the deployed host process. Used by the scripts of the cases.

The store and the servers do what PROTOCOL.md says and no more: the store pages
its listings at 500 items or 1 MB, answers watches, and states Store-Era; a
server checks X-Peridotpin-Expect-Instance, runs a request for the time that its
query asks for, and echoes its attempt id with a stamp.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOSTD = os.path.join(ROOT, "target", "peridot-hostd")
METRICS_PORT = 9464
PAGE_ITEMS = 500
PAGE_BYTES = 1000000
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be run; it says nothing about the rule."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, directory):
        self.file = open(os.path.join(directory, "record.txt"), "w",
                         encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.began, text))
        self.file.flush()


def pick_network():
    """A loopback network whose addresses have the metrics port free."""
    for _ in range(50):
        net = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
        try:
            for last in (1, 2, 3, 4, 5, 6, 7, 250):
                with socket.socket() as sock:
                    sock.bind(("%s.%d" % (net, last), METRICS_PORT))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback network")


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


async def read_head(reader):
    """Returns the first line and the fields, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return body
    return await reader.readexactly(int(fields.get("content-length", 0)))


class Store:
    """The platform's store."""

    def __init__(self, record, ip):
        self.record = record
        self.ip = ip
        self.revision = 0
        self.era = 1
        self.items = {}
        self.history = []
        self.answer_s = 0.004
        self.changed = asyncio.Condition()
        self.up = True
        self.writers = set()
        self.listed = []  # (time, page's first revision) of each range call

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    async def put(self, key, value, log=True):
        """Returns the revision, which is the store's acknowledgement."""
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        created = self.items[key]["created"] if key in self.items else None
        item = {"key": key, "value": base64.b64encode(data).decode(),
                "revision": self.revision,
                "created": created or self.revision, "lease": 0}
        self.items[key] = item
        self.history.append(item)
        if log:
            self.record.write("store: wrote %s at revision %d"
                              % (key, self.revision))
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def delete(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.history.append({"key": key, "revision": self.revision,
                             "deleted": True})
        self.record.write("store: deleted %s at revision %d"
                          % (key, self.revision))
        async with self.changed:
            self.changed.notify_all()

    def copy(self):
        return self.revision, dict(self.items), list(self.history)

    def go_away(self):
        """Cuts all calls; later ones are reset until come_back()."""
        self.up = False
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.write("store: away")

    def come_back(self, copy):
        self.revision, self.items, self.history = copy
        self.era += 1
        self.up = True
        self.record.write("store: back at revision %d, era %d"
                          % (self.revision, self.era))

    def page(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items
                      if k.startswith(prefix) and k > after)
        entries, size = [], 0
        for key in keys:
            item = self.items[key]
            if entries and (len(entries) == PAGE_ITEMS or
                            size + len(item["value"]) > PAGE_BYTES):
                break
            entries.append(item)
            size += len(item["value"])
        return 200, {"entries": entries, "has_more": len(entries) < len(keys),
                     "at_revision": self.revision}

    async def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after > self.revision:
                return 410, {}
            events = [e for e in self.history if e["revision"] > after]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at_revision": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def serve(self, reader, writer):
        if not self.up:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                url = urllib.parse.urlsplit(head[0].split(" ")[1])
                query = dict(urllib.parse.parse_qsl(url.query, True))
                peer = writer.get_extra_info("peername")[0]
                if url.path == "/peridotpin/kv-range":
                    # The call is done at once; its answer may be slow.
                    status, body = self.page(query)
                    self.record.write(
                        "store: lists %d items for %s at revision %d, more: %s"
                        % (len(body["entries"]), peer, body["at_revision"],
                           body["has_more"]))
                    self.listed.append((time.monotonic(), peer,
                                        query.get("after", "")))
                else:
                    status, body = await self.watch(query)
                await asyncio.sleep(self.answer_s)
                data = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n"
                             % (status, self.era, len(data)) + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Server:
    """A server of a service. A request's query may hold ms, the time of its
    run."""

    def __init__(self, record, ip, name, service, zone):
        self.record = record
        self.ip = ip
        self.name = name
        self.service = service
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.runs = []  # (time, id, method, target, body)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0,
                                                 backlog=64)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    def entry(self, state="ready"):
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "1", "slots": 64, "state": state,
                "cold_remaining_ms": 0, "sequence": 1, "born": self.born}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, fields = head
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ")
                attempt = fields.get("x-peridotpin-attempt-id", "")
                if fields.get("x-peridotpin-expect-instance",
                              self.name) != self.name:
                    writer.write(b"HTTP/1.1 421 X\r\nX-Peridotpin-Attempt-Id: "
                                 b"%s\r\nX-Peridotpin-Not-Executed: 1\r\n"
                                 b"Content-Length: 0\r\n\r\n"
                                 % attempt.encode())
                    continue
                self.runs.append((time.monotonic(), attempt, method, target,
                                  body))
                self.record.write("server %s: runs %s: %s %s" % (
                    self.name, attempt or "a request without an id", method,
                    target))
                query = dict(urllib.parse.parse_qsl(
                    urllib.parse.urlsplit(target).query))
                await asyncio.sleep(float(query.get("ms", 5)) / 1000)
                text = ("answer of %s to %s %s\n"
                        % (self.name, method, target)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nX-Peridotpin-Attempt-Id: %s"
                             b"\r\nX-Peridotpin-Server-Stamp: %s.%s\r\n"
                             b"Content-Type: text/plain\r\nContent-Length: %d"
                             b"\r\n\r\n" % (attempt.encode(),
                                            self.name.encode(),
                                            attempt.encode(), len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


HOSTNAME = "desk.example"
KEY = "k2ctnfzs989anu6wsjnb"


def config(version, keys=(KEY,)):
    """A configuration with one route of each plain kind to service app, and one
    tenant with the keys."""
    def route(name, kind, attempts):
        return {"name": name, "hostname": HOSTNAME, "prefix": "/%s/" % name,
                "route_type": kind, "service": "app", "timeout_ms": 8000,
                "target_latency_ms": 2000, "max_attempts": attempts,
                "priority": 1, "public": False}
    return {"version": version,
            "routes": [route("booking", "non_idempotent", 1),
                       route("lookup", "idempotent", 2)],
            "services": [{"name": "app", "health_path": "/healthz",
                          "max_connections": 400, "cold_start_s": 0.0,
                          "cold_per_s": 0.0}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "hule930", "api_keys": list(keys),
                         "priority": 0}]}


class Fleet:
    """Host processes started as the deploy file says."""

    def __init__(self, record, store, zones, net):
        self.record = record
        self.store = store
        self.zones = zones  # name to region
        self.net = net
        self.directory = tempfile.TemporaryDirectory()
        self.processes = {}
        self.ports = {name: free_port(net + ".1")
                      for name in ("front", "readiness", "control_plane")}
        base = free_port(net + ".1")
        self.internal = "%d,%d" % (base, min(base + 15, 65535))

    def ip(self, number):
        return "%s.%d" % (self.net, number)

    def write_settings(self, number, zone, seeds):
        path = os.path.join(self.directory.name, "host%d.conf" % number)
        ip = self.ip(number)
        lines = ["node_name=edge-%s-%d" % (zone, number), "role=host",
                 "machine_class=edge", "serves=edge,control", "ip=" + ip,
                 "zone=" + zone, "region=" + self.zones[zone]]
        lines += ["zones.%s=%s" % pair for pair in self.zones.items()]
        lines += ["listen.%s=%s:%d" % (name, ip, port)
                  for name, port in self.ports.items()]
        lines += ["internal_port_range=" + self.internal,
                  "seed_nodes=" + ",".join(
                      "%s:%d" % (self.ip(seed), self.ports["control_plane"])
                      for seed in seeds),
                  "bootstrap=true", "fault_counted=false",
                  "limits.cpu_share=0.25", "limits.cores=1",
                  "limits.memory_mb=260", "limits.max_fds=4100",
                  "discovery=platform", "entry=vip", "heartbeat_ms=1200",
                  "bounds.contact_ms=4000", "bounds.drain_ms=3000",
                  "bounds.grace_s=8", "bounds.loss_slack_ms=200",
                  "bounds.config_apply_ms=3000", "bounds.evacuate_ms=5000",
                  "bounds.outer_bound_ms=6000",
                  "bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10",
                  "bounds.retry_budget_slack=52", "bounds.cold_overshoot=1.5",
                  "bounds.cold_slack=5", "platform.address=" +
                  self.store.address, "platform.form=read",
                  "platform.reads_per_s=2000"]
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        return path

    def start(self, number, zone, seeds):
        """Starts a host, or starts it again."""
        if not os.access(HOSTD, os.X_OK):
            raise CannotRun("target/peridot-hostd is not built")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["PERIDOTPIN_BOOT"] = self.write_settings(number, zone, seeds)
        log = open(os.path.join(self.directory.name, "host%d.log" % number),
                   "ab")
        self.processes[number] = subprocess.Popen(
            [HOSTD], cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.record.write("host %d: started in %s" % (number, zone))

    def signal(self, number, which):
        self.record.write("host %d: %s" % (number, which.name))
        self.processes[number].send_signal(which)

    async def is_ready(self, number):
        try:
            reader, writer = await asyncio.open_connection(
                self.ip(number), self.ports["readiness"])
            writer.write(b"GET /peridotpin/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, number, limit_s=10):
        end = time.monotonic() + limit_s
        while not await self.is_ready(number):
            if time.monotonic() > end:
                raise CannotRun("host %d is not ready" % number)
            await asyncio.sleep(0.05)
        self.record.write("host %d: ready" % number)

    def front(self, number):
        return self.ip(number), self.ports["front"]

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def save_logs(self, directory):
        for number in self.processes:
            source = os.path.join(self.directory.name, "host%d.log" % number)
            with open(source, "rb") as file:
                data = file.read()
            with open(os.path.join(directory, "host%d.log" % number),
                      "wb") as file:
                file.write(data)


def request(attempt, path, method="GET", body=None, deadline_ms=8000,
            key=KEY):
    """The bytes of a client's request."""
    text = "%s %s HTTP/1.1\r\nHost: %s\r\nX-Peridotpin-Attempt-Id: %s\r\n" \
           "X-Peridotpin-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n" \
           % (method, path, HOSTNAME, attempt, deadline_ms, key)
    if body is not None:
        text += "Content-Length: %d\r\n" % len(body)
    return text.encode() + b"\r\n" + (body or b"")


async def read_answer(reader):
    """Returns (status, attempt id, body), or None when the channel ends."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        body = await read_body(reader, head[1])
    except asyncio.IncompleteReadError:
        return None
    return (int(head[0].split(" ")[1]),
            head[1].get("x-peridotpin-attempt-id", ""), body)


async def ask(address, attempt, path, key=KEY):
    """One request on a channel of its own; returns read_answer()'s result."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return None
    try:
        writer.write(request(attempt, path, key=key))
        return await asyncio.wait_for(read_answer(reader), 9)
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        writer.close()


def main(case, file):
    """Runs the case and exits with its result."""
    directory = os.path.dirname(os.path.abspath(file))
    record = Record(directory)

    async def run():
        fleets = []
        try:
            return await asyncio.wait_for(case(record, fleets), 110)
        except (CannotRun, asyncio.TimeoutError, OSError) as fault:
            record.write("cannot run: %r" % fault)
            return NOT_RUN
        finally:
            for fleet in fleets:
                fleet.stop()
                if os.environ.get("KEEP_LOGS"):
                    fleet.save_logs(os.environ["KEEP_LOGS"])

    result = asyncio.run(run())
    record.write("result: %s" % {HELD: "the rule held",
                                 BROKEN: "the rule was broken",
                                 NOT_RUN: "the case could not run"}[result])
    sys.exit(result)
