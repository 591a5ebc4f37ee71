"""Stand-ins of the platform's store and servers, and consumers, for the cases.

Each case is one process with an event loop; it starts the hosts as processes
with the command of the deploy file. All addresses are in a loopback network
that is drawn for the run.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
KEY = "n2ctnfzs989anu6wsjnb"
HOSTNAME = "ficu95.example"


tasks = set()  # the event loop itself keeps no reference to a task


def now():
    return time.monotonic()


def start_task(coroutine):
    task = asyncio.ensure_future(coroutine)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    return task


class CannotRun(Exception):
    """The case couldn't be set up."""


class Record:
    """What was sent, answered and run, for record.txt."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.lines = []
        self.start = now()

    def add(self, text, at=None):
        at = now() if at is None else at
        self.lines.append((at, "%8.3f  %s" % (at - self.start, text)))

    def write(self):
        lines = [text for _, text in sorted(self.lines, key=lambda x: x[0])]
        with open(self.path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")


async def read_head(reader):
    """Returns the first line and the fields of a message, or None."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def until_closed(reader):
    """Returns when the other side has closed or reset the connection."""
    while not reader.at_eof() and not reader.exception():
        await asyncio.sleep(0.01)


def message(first, fields, body=b""):
    head = first + "\r\n" + "".join("%s: %s\r\n" % f for f in fields)
    return head.encode() + b"\r\n" + body


class Store:
    """The platform's store: listings and watches."""

    def __init__(self, address, era=None):
        self.address = address
        self.era = era
        self.revision = 10
        self.records = {}
        self.history = []
        self.changed = asyncio.Event()

    async def start(self):
        await asyncio.start_server(self.serve, *self.address)

    def put(self, key, value):
        text = value if isinstance(value, str) else json.dumps(value)
        self.revision += 1
        item = {"key": key, "revision": self.revision,
                "created": self.revision, "lease": 0,
                "value": base64.b64encode(text.encode()).decode()}
        self.records[key] = item
        self.add_event(item)

    def delete(self, key):
        self.revision += 1
        self.records.pop(key, None)
        self.add_event({"key": key, "revision": self.revision,
                        "deleted": True})

    def add_event(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def watch(self, query):
        end = now() + int(query["wait_ms"]) / 1000
        while True:
            events = [e for e in self.history
                      if e["revision"] > int(query["after"])
                      and e["key"].startswith(query["prefix"])]
            if events or now() >= end:
                return {"events": events, "at_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), end - now())
            except asyncio.TimeoutError:
                pass

    def list(self, query):
        keys = sorted(k for k in self.records
                      if k.startswith(query["prefix"])
                      and k > query.get("after", ""))
        return {"entries": [self.records[k] for k in keys[:500]],
                "has_more": len(keys) > 500, "at_revision": self.revision}

    async def serve(self, reader, writer):
        from urllib.parse import urlsplit, parse_qsl
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                url = urlsplit(head[0].split(" ")[1])
                query = dict(parse_qsl(url.query, keep_blank_values=True))
                status, body = "200 OK", {}
                if url.path == "/peridotpin/kv-watch":
                    body = await self.watch(query)
                elif url.path == "/peridotpin/kv-range":
                    body = self.list(query)
                else:
                    status = "404 Not Found"
                text = json.dumps(body).encode()
                fields = [("Content-Type", "application/json"),
                          ("Content-Length", len(text))]
                if self.era is not None:
                    fields.append(("Store-Era", self.era))
                writer.write(message("HTTP/1.1 " + status, fields, text))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # the caller left, or the case ends
        finally:
            writer.close()


class Run:
    """One request at a server."""

    def __init__(self, request_id, method, target, fields, body):
        self.id = request_id
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body
        self.arrived = now()
        self.ended = None  # when the server stopped work on it
        self.outcome = None


class Server:
    """A server; `work` is a coroutine that answers a run and returns whether
    the connection may be kept. A run ends when its connection closes."""

    def __init__(self, name, address, work, record):
        self.name = name
        self.address = address
        self.work = work
        self.record = record
        self.runs = []
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address,
                                                 backlog=1024)

    def entry(self, service, zone, slots, state="ready", sequence=1):
        return {"service": service, "address": "%s:%d" % self.address,
                "zone": zone, "version": "v1", "slots": slots, "state": state,
                "cold_remaining_ms": 0, "sequence": sequence,
                "born": int(time.time() * 1000) - 60000}

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ")
                fields = head[1]
                length = int(fields.get("content-length", 0))
                body = await reader.readexactly(length) if length else b""
                if target == "/healthz":
                    writer.write(message("HTTP/1.1 200 OK", [
                        ("X-Peridotpin-Instance-Id", self.name),
                        ("Content-Length", 0)]))
                    continue
                request_id = fields.get("x-peridotpin-attempt-id", "")
                if fields.get("x-peridotpin-expect-instance",
                              self.name) != self.name:
                    writer.write(message("HTTP/1.1 421 Misdirected Request", [
                        ("X-Peridotpin-Attempt-Id", request_id),
                        ("X-Peridotpin-Instance-Id", self.name),
                        ("Content-Length", 0)]))
                    continue
                run = Run(request_id, method, target, fields, body)
                self.runs.append(run)
                self.record.add("%s begins %s (%s %s)" % (
                    self.name, request_id, method, target), run.arrived)
                if not await self.run(run, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass  # the caller left, or the case ends
        finally:
            self.connections.discard(writer)
            writer.close()

    async def run(self, run, reader, writer):
        """Works on the run until it is done or the connection closes."""
        work = start_task(self.work(self, run, writer))
        closed = start_task(until_closed(reader))
        try:
            await asyncio.wait([work, closed],
                               return_when=asyncio.FIRST_COMPLETED)
            run.ended = now()
            if work.done():
                run.outcome = "done"
                return work.result()
            run.outcome = "dropped"
            return False
        except ConnectionError:
            run.ended = now()
            run.outcome = "broken"
            return False
        finally:
            work.cancel()
            closed.cancel()
            self.record.add("%s ends %s: %s" % (self.name, run.id,
                                                run.outcome), run.ended)

    def stamp(self, run):
        return [("X-Peridotpin-Attempt-Id", run.id),
                ("X-Peridotpin-Server-Stamp", "stamp.%s.%s" % (self.name,
                                                               run.id))]


class Host:
    """A process of the deploy file's role."""

    def __init__(self, net, number, zones, zone, store, seeds, settings):
        self.name = "edge-%s-%d" % (zone, number)
        self.ip = "%s.%d" % (net, number)
        self.front = (self.ip, 8227)
        self.readiness = (self.ip, 8220)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.process = None
        lines = {
            "node_name": self.name, "role": "host", "machine_class": "edge",
            "serves": "edge,control", "ip": self.ip, "zone": zone,
            "region": zones[zone],
            **{"zones." + z: r for z, r in zones.items()},
            "listen.front": "%s:8227" % self.ip,
            "listen.readiness": "%s:8220" % self.ip,
            "listen.control_plane": "%s:8229" % self.ip,
            "internal_port_range": "7340,7355",
            "seed_nodes": ",".join("%s.%d:8229" % (net, n) for n in seeds),
            "limits.cpu_share": 0.25, "limits.cores": 1,
            "limits.memory_mb": 260, "limits.max_fds": 4200,
            "limits.link_mbps": 1000.0, "limits.disk_mb": 0,
            "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "bounds.contact_ms": 4000, "bounds.drain_ms": 3000,
            "bounds.grace_s": 8, "bounds.config_apply_ms": 3000,
            "bounds.retry_budget_ratio": 0.2, "bounds.budget_window_s": 10,
            "bounds.retry_budget_slack": 54, "bounds.cold_overshoot": 1.5,
            "bounds.cold_slack": 5, "bounds.evacuate_ms": 5000,
            "bounds.recovery_s": 12, "bounds.reuse_after_s": 2,
            "bounds.loss_slack_ms": 200,
            "platform.address": "%s:%d" % store, "platform.form": "read",
            "platform.reads_per_s": 2000, "platform.history_s": 20,
            "platform.max_value_bytes": 1048576}
        lines.update(settings)
        self.settings = lines

    def write_settings(self):
        self.path = os.path.join(self.folder, "boot.conf")
        with open(self.path, "w", encoding="utf-8") as file:
            for name, value in self.settings.items():
                file.write("%s=%s\n" % (name, value))

    async def start(self):
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"),
                  "rb") as file:
            command = tomllib.load(file)["roles"]["host"]["run"].split(" ")
        if not os.path.exists(os.path.join(REPOSITORY, command[0])):
            raise CannotRun("%s is not built" % command[0])
        self.write_settings()
        log = open(os.path.join(self.folder, "log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=REPOSITORY, stdout=log, stderr=log,
            env={"PERIDOTPIN_BOOT": self.path, "PATH": os.environ["PATH"],
                 "HOME": self.folder, "LANG": "C"})
        log.close()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*self.readiness), 1)
            writer.write(message("GET /peridotpin/readyz HTTP/1.1",
                                 [("Host", "ready")]))
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        self.process.send_signal(number)

    async def stop(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


async def wait_ready(hosts, limit_s=15):
    end = now() + limit_s
    for host in hosts:
        while not await host.is_ready():
            if now() > end:
                raise CannotRun("%s is not ready" % host.name)
            await asyncio.sleep(0.1)


def draw_network():
    """A loopback network in which the ports of the case are free."""
    for _ in range(50):
        net = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
        try:
            for port in (8227, 8220, 8229, 9464):
                with socket.socket() as sock:
                    sock.bind((net + ".1", port))
            return net
        except OSError:
            continue
    raise CannotRun("no free ports")


def route(name, prefix, kind, service, timeout_ms, target_ms, **more):
    return {"name": name, "hostname": HOSTNAME, "prefix": prefix,
            "route_type": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": target_ms, "priority": 1,
            "service": service, "max_attempts": 1, "public": False,
            "session_affinity": False, "stream_resume": False,
            "itl_target_ms": 200, "allowed_regions": [], **more}


def service(name, max_connections=620, engine=None, cold_s=0.0, cold=0.0):
    made = {"name": name, "health_path": "/healthz",
            "max_connections": max_connections, "protocol": "h1",
            "tls": False, "cold_start_s": cold_s, "cold_per_s": cold}
    if engine:
        made["engine"] = engine
    return made


def config(version, routes, services, keys=(KEY,), **limits):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                       **limits},
            "tenants": [{"name": "hule930", "api_keys": list(keys),
                         "priority": 1, "allowed_regions": []}]}


def request(method, path, request_id, deadline_ms, body=b"", more=()):
    fields = [("Host", HOSTNAME), ("X-Peridotpin-Attempt-Id", request_id),
              ("X-Peridotpin-Deadline-Ms", deadline_ms),
              ("Authorization", "Bearer " + KEY)] + list(more)
    if method == "POST":
        fields.append(("Content-Length", len(body)))
    return message("%s %s HTTP/1.1" % (method, path), fields, body)


async def read_answer(reader):
    """Returns status, fields and body of an answer, or None if the channel
    ended before its end."""
    head = await read_head(reader)
    if head is None:
        return None
    status = int(head[0].split(" ")[1])
    fields = head[1]
    try:
        if "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        elif fields.get("transfer-encoding") == "chunked":
            body = b""
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                part = await reader.readexactly(size + 2)
                if not size:
                    break
                body += part[:-2]
        else:
            body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return status, fields, body


def run_case(main, folder, trouble):
    """Runs main(record, trouble), which returns whether the rule held; exits
    with 0 if it did, 1 if it was broken, 2 if the case couldn't run."""
    record = Record(folder)
    record.add("trouble: %s" % ("yes" if trouble else "no"))
    try:
        held = asyncio.run(main(record, trouble))
        code = 0 if held else 1
    except CannotRun as error:
        record.add("could not run: %s" % error)
        code = 2
    except OSError as error:
        record.add("could not run: %s" % error)
        code = 2
    record.add("exit %d" % code)
    record.write()
    print("exit %d" % code)
    os._exit(code)
