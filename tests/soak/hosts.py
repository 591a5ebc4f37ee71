#!/usr/bin/env python3
"""Fault soak of host processes.

Usage: hosts.py BUILD_DIR SEED DURATION_S [HOSTS]

Runs host processes with the platform's stand-ins, sends requests over
persistent connections, and injects faults drawn from the seed: hosts are
killed, stopped, suspended and restarted; a loopback proxy in front of each
server and of the store delays data, resets connections, or blocks one or both
directions; servers send wrong responses, leave and return; the store refuses
requests, stops responding or compacts its history; configurations are
replaced. Faults overlap.

Checks these invariants by what callers and servers observed:
  once    a request that is not idempotent has run at most once
  not-run a request with a 503 response has not run
  whole   a 200 response has the server's complete body, its stamp and the
          request's id; a stream that ends has all its events in order
  leaving a server gets no requests 3 s after its record's state is draining
  alive   no host exits by itself, and no sanitizer reports anything
Prints counts and every violated invariant (BREACH); exits with 1 if there is
one.
"""

import http.client
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

HERE = os.path.dirname(os.path.abspath(__file__))
STANDIN = os.path.join(HERE, "..", "standins", "platform.py")
NOT_RUN_MODES = ("shed", "misdirected")
MODES = ("ok", "ok", "ok", "shed", "reset", "error", "truncate", "foreign",
         "unstamped", "extra", "garbage", "close-after", "half-stream")
SERVERS = 3
CALLERS = 6
DRAIN_S = 3.0
SETTLE_S = 3.0


class Proxy:
    """Loopback proxy that injects connection faults."""

    def __init__(self, listen, to):
        self.upstream_address = to
        self.fault = None
        self.pairs = []
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(listen)
        self.listener.listen(128)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            client, _ = self.listener.accept()
            upstream = socket.socket()
            try:
                upstream.connect(self.upstream_address)
            except OSError:
                client.close()
                continue
            for sock in (client, upstream):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.pairs.append((client, upstream))
            for direction, source, sink in (("in", client, upstream),
                                            ("out", upstream, client)):
                threading.Thread(target=self.forward, daemon=True,
                                 args=(direction, source, sink)).start()

    def forward(self, direction, source, sink):
        try:
            while True:
                data = source.recv(65536)
                if self.fault == "delay":
                    time.sleep(0.1)
                while self.fault in ("silence", "cut-" + direction):
                    time.sleep(0.02)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            pass  # one side was closed or reset

    def reset(self):
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        pairs, self.pairs = self.pairs, []
        for pair in pairs:
            for sock in pair:
                try:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                    linger)
                    sock.close()
                except OSError:
                    pass  # already closed


class Soak:
    def __init__(self, build, seed, duration, hosts):
        self.build, self.seed, self.duration = build, seed, duration
        self.hosts = hosts
        self.random = random.Random(seed)
        self.net = "127.%d.%d" % (self.random.randrange(20, 220), seed % 250)
        self.signalled = set()  # ids of processes that got a signal to end
        self.host_locks = [threading.Lock() for _ in range(hosts)]
        self.work = tempfile.TemporaryDirectory()
        self.processes = {}
        self.proxies = {}
        self.runs = []
        self.draining = {}
        # End of the last fault that may keep hosts from following the store.
        self.last_disturbance = 0.0
        self.born = 1
        self.version = 1
        self.responses = []
        self.lock = threading.Lock()
        self.ended = False
        self.delayed_steps = []
        self.breaches = []
        self.counts = {}

    def count_fault(self, what):
        with self.lock:
            self.counts[what] = self.counts.get(what, 0) + 1

    def start(self, name, command, output):
        with open(os.path.join(self.work.name, output), "ab") as out:
            self.processes[name] = subprocess.Popen(command, stdout=out,
                                                    stderr=out)

    def check_alive(self, name, process):
        """Returns False if the process has ended, which is a breach unless
        it was signalled."""
        if process.poll() is None:
            return True
        if process.pid not in self.signalled:
            self.breaches.append("%s ended by itself with %d" % (
                name, process.returncode))
        return False

    def stop(self, name, signal_number):
        process = self.processes.pop(name, None)
        if process:
            if not self.check_alive(name, process):
                return
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal_number)
            process.wait(20)

    def control(self, address, path, query=None):
        connection = http.client.HTTPConnection(*address, timeout=3)
        if query:
            path += "?" + urllib.parse.urlencode(query)
        connection.request("GET", path)
        body = connection.getresponse().read().decode()
        connection.close()
        return body

    def store(self, path, **query):
        return self.control((self.net + ".250", 7000), path, query)

    def server_name(self, index):
        return "s%d" % index

    def server_address(self, index):
        return (self.net + ".%d" % (100 + index), 8000)

    def put_server(self, index, state):
        name = self.server_name(index)
        self.store("/control/put", key="servers/" + name, value=json.dumps({
            "service": "plain", "zone": "d1" if index < 2 else "d2",
            "address": "%s.%d:8001" % (self.net, 100 + index), "slots": 4,
            "state": state, "cold_remaining_ms": 0, "sequence": 1,
            "born": self.born}))
        with self.lock:
            if state == "draining":
                self.draining[name] = time.monotonic()
            else:
                self.draining.pop(name, None)

    def put_config(self):
        self.version += self.random.randrange(1, 4)
        routes = [{"name": kind, "hostname": "h.example",
                   "prefix": "/%s/" % path, "route_type": kind,
                   "timeout_ms": 1500, "target_latency_ms": 300,
                   "priority": 1, "service": "plain", "max_attempts": attempts,
                   "stream_resume": attempts > 1, "itl_target_ms": 200,
                   "public": True}
                  for path, kind, attempts in (
                      ("once", "non_idempotent", 1),
                      ("again", "idempotent", 2),
                      ("stream", "streaming", 2))]
        self.store("/control/put", key="op/config", value=json.dumps({
            "version": self.version, "routes": routes, "services": [
                {"name": "plain", "max_connections": 200}], "limits": {
                    "max_header_bytes": 8192, "max_body_bytes": 65536,
                    "header_timeout_ms": 2000, "idle_timeout_ms": 5000}}))

    def start_server(self, index):
        name = self.server_name(index)
        host, port = self.server_address(index)
        self.start(name, [sys.executable, STANDIN, "server",
                          "%s:%d" % (host, port), name], "server.log")

    def start_host(self, index):
        ip = "%s.%d" % (self.net, index + 1)
        path = os.path.join(self.work.name, "h%d.conf" % index)
        with open(path, "w") as out:
            out.write("\n".join((
                "node_name=h%d" % index, "ip=" + ip, "zone=d%d" % (
                    index % 2 + 1), "region=r", "zones.d1=r", "zones.d2=r",
                "listen.front=%s:8080" % ip, "listen.readiness=%s:8081" % ip,
                "listen.control_plane=%s:8082" % ip,
                "internal_port_range=7340,7355",
                "seed_nodes=%s.1:8082,%s.2:8082" % (self.net, self.net),
                "bounds.grace_s=5", "bounds.retry_budget_ratio=1",
                "bounds.retry_budget_slack=500",
                "platform.address=%s.251:7000" % self.net, "")))
        self.start("h%d" % index, [os.path.join(self.build, "peridot-hostd"),
                                   "--settings=" + path, "--log-level=warn"],
                   "h%d.log" % index)

    def restart_host(self, index, signal_number):
        """Signals the host and restarts it after it has ended. If two signals
        overlap, the host is restarted only once."""
        process = self.processes.get("h%d" % index)
        if not process:
            return
        self.check_alive("h%d" % index, process)
        self.signalled.add(process.pid)
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal_number)
        process.wait(20)
        with self.host_locks[index]:
            if self.processes.get("h%d" % index) is process:
                self.start_host(index)

    def collect(self, index):
        """Fetches and clears a server's list of requests; reports requests
        that came too late after the server began to drain."""
        try:
            text = self.control(self.server_address(index), "/control/seen")
        except OSError:
            return
        now = time.monotonic()
        name = self.server_name(index)
        lines = text.splitlines()
        with self.lock:
            since = self.draining.get(name)
            self.runs += lines
        if (lines and since and now - since > DRAIN_S + 1.0 and
                self.last_disturbance < since):
            self.breaches.append("leaving: %s got %d requests %.1f s after it "
                                 "was draining" % (name, len(lines),
                                                   now - since))

    def call(self, connection, request_id, kind):
        body = b"x" * 10 if kind == "once" else None
        connection.request("POST" if body else "GET",
                           "/%s/%s" % (kind, request_id),
                           body, {"Host": "h.example",
                                  "X-Peridotpin-Attempt-Id": request_id,
                                  "X-Peridotpin-Deadline-Ms": "2500"})
        response = connection.getresponse()
        text = response.read().decode()
        return response.status, response.getheaders(), text

    def caller(self, caller_number):
        rng = random.Random(self.seed * 100 + caller_number)
        connection, serial = None, 0
        while not self.ended:
            serial += 1
            request_id = "c%d-%d" % (caller_number, serial)
            kind = rng.choice(("once", "again", "stream"))
            try:
                if connection is None:
                    host = rng.randrange(self.hosts)
                    connection = http.client.HTTPConnection(
                        "%s.%d" % (self.net, host + 1), 8080, timeout=4)
                status, headers, text = self.call(connection, request_id, kind)
                if dict(headers).get("Connection") == "close":
                    connection.close()
                    connection = None
            except (OSError, http.client.HTTPException):
                status, headers, text = 0, [], ""
                connection = None
                time.sleep(0.05)
            with self.lock:
                self.responses.append((request_id, kind, status, dict(headers),
                                     text))
            if status == 503:
                time.sleep(0.1)

    def inject_fault(self):
        """Injects one random fault. A thread ends a fault that lasts."""
        duration = self.random.uniform(0.2, 2.0)
        host = "h%d" % self.random.randrange(self.hosts)
        server = self.random.randrange(SERVERS)
        kind = self.random.choice((
            "modes", "modes", "modes", "kill", "term", "pause", "proxy",
            "proxy", "reset", "store", "store-silent", "forget", "config",
            "drain", "restart-server"))
        self.count_fault(kind)
        if kind in ("pause", "proxy", "store", "store-silent", "forget"):
            self.last_disturbance = time.monotonic() + duration
        if kind == "modes":
            modes = [self.random.choice(MODES) for _ in range(20)]
            self.ignore_os_errors(self.control, self.server_address(server),
                                  "/control/mode", {"next": ",".join(modes)})
        elif kind in ("kill", "term"):
            signal_number = (signal.SIGKILL if kind == "kill"
                             else signal.SIGTERM)
            self.run_later(0, lambda: self.restart_host(int(host[1:]),
                                                        signal_number))
        elif kind == "pause" and host in self.processes:
            process = self.processes[host]
            process.send_signal(signal.SIGSTOP)
            self.run_later(duration,
                           lambda: process.send_signal(signal.SIGCONT))
        elif kind == "proxy":
            proxy = self.random.choice(list(self.proxies.values()))
            proxy.fault = self.random.choice(("delay", "silence", "cut-in",
                                              "cut-out"))
            self.run_later(duration, lambda: setattr(proxy, "fault", None))
        elif kind == "reset":
            self.random.choice(list(self.proxies.values())).reset()
        elif kind == "store":
            self.ignore_os_errors(self.store, "/control/refuse", on=1)
            self.run_later(duration,
                           lambda: self.store("/control/refuse", on=0))
        elif kind == "store-silent":
            self.ignore_os_errors(self.store, "/control/silent", on=1)
            self.run_later(duration,
                           lambda: self.store("/control/silent", on=0))
        elif kind == "forget":
            self.ignore_os_errors(self.store, "/control/forget")
        elif kind == "config":
            self.put_config()
        elif kind == "drain":
            self.drain(server)
        elif kind == "restart-server":
            self.restart_server(server)

    def ignore_os_errors(self, function, *args, **query):
        try:
            function(*args, **query)
        except OSError:
            pass  # the stand-in is being restarted

    def run_later(self, delay, function):
        def run():
            time.sleep(delay)
            try:
                function()
            except (OSError, subprocess.TimeoutExpired) as error:
                self.breaches.append("soak: %s" % error)
        thread = threading.Thread(target=run, daemon=True)
        self.delayed_steps.append(thread)
        thread.start()

    def drain(self, index):
        if self.draining or self.proxies["store"].fault:
            return
        self.put_server(index, "draining")

        def restore():
            self.collect(index)
            self.put_server(index, "ready")
        self.collect(index)
        self.run_later(DRAIN_S + 0.2,
                       lambda: self.collect_at_bound(index, restore))

    def collect_at_bound(self, index, restore):
        """Collects the requests that came in time without a check, then waits
        a second for late ones."""
        with self.lock:
            since = self.draining.pop(self.server_name(index), None)
        self.collect(index)
        if since:
            with self.lock:
                self.draining[self.server_name(index)] = since
        time.sleep(1.0)
        restore()

    def restart_server(self, index):
        if self.server_name(index) in self.draining:
            return
        self.collect(index)
        self.stop(self.server_name(index), signal.SIGKILL)
        self.born += 1
        self.start_server(index)
        self.run_later(0.3, lambda: self.put_server(index, "ready"))

    def check(self):
        run_counts = {}
        for line in self.runs:
            request_id = re.search(r"id=(\S+)", line).group(1)
            mode = line.rsplit(" ", 1)[1]
            if mode not in NOT_RUN_MODES:
                run_counts[request_id] = run_counts.get(request_id, 0) + 1
        for request_id, kind, status, headers, text in self.responses:
            run_count = run_counts.get(request_id, 0)
            if kind == "once" and run_count > 1:
                self.breaches.append("once: %s ran %d times" % (request_id,
                                                                run_count))
            if status == 503 and run_count:
                self.breaches.append("not-run: %s ran and was answered 503"
                                     % request_id)
            if status == 200:
                self.check_complete(request_id, kind, headers, text)

    def check_complete(self, request_id, kind, headers, text):
        stamp = headers.get("X-Peridotpin-Server-Stamp", "")
        expected = "%s /%s/%s %d" % (stamp[len("stamp-"):], kind, request_id,
                                     10 if kind == "once" else 0)
        if kind == "stream":
            complete = re.findall(r"id: (\d+)", text) == list("12345")
        else:
            complete = text == expected
        if (not complete or not stamp or
                headers.get("X-Peridotpin-Attempt-Id") != request_id):
            self.breaches.append("whole: %s got %r" % (request_id, text[:80]))

    def run(self):
        self.start("store", [sys.executable, STANDIN, "store",
                             self.net + ".250:7000"], "store.log")
        for index in range(SERVERS):
            self.start_server(index)
            host, port = self.server_address(index)
            self.proxies["s%d" % index] = Proxy((host, 8001), (host, port))
        self.proxies["store"] = Proxy((self.net + ".251", 7000),
                                      (self.net + ".250", 7000))
        time.sleep(1.0)
        self.put_config()
        for index in range(SERVERS):
            self.put_server(index, "ready")
        for index in range(self.hosts):
            self.start_host(index)
        time.sleep(1.0)
        threads = [threading.Thread(target=self.caller, args=(n,))
                   for n in range(CALLERS)]
        for thread in threads:
            thread.start()
        end = time.monotonic() + self.duration
        while time.monotonic() < end:
            self.inject_fault()
            time.sleep(self.random.uniform(0.05, 0.5))
        time.sleep(SETTLE_S)
        # A step that is still due needs the stand-ins.
        for thread in self.delayed_steps:
            thread.join()
        self.ended = True
        for thread in threads:
            thread.join()
        time.sleep(0.5)
        self.finish_load()
        self.check()

    def finish_load(self):
        for index in range(SERVERS):
            self.collect(index)

    def close(self):
        for name in list(self.processes):
            self.stop(name, signal.SIGKILL)
        for index in range(self.hosts):
            path = os.path.join(self.work.name, "h%d.log" % index)
            with open(path, errors="replace") as log:
                if re.search("Sanitizer|runtime error:", log.read()):
                    self.breaches.append("sanitizer report in h%d.log" % index)

    def report(self):
        statuses = {}
        for response in self.responses:
            statuses[response[2]] = statuses.get(response[2], 0) + 1
        print("seed %d: %d requests, answers %s, faults %s" % (
            self.seed, len(self.responses), dict(sorted(statuses.items())),
            dict(sorted(self.counts.items()))))
        for breach in self.breaches:
            print("BREACH seed=%d: %s" % (self.seed, breach))
        if not statuses.get(200):
            print("BREACH seed=%d: nothing was served" % self.seed)
        return 1 if self.breaches or not statuses.get(200) else 0


def main(kind, hosts):
    """Runs a soak of this class with so many hosts, unless the command line
    states another number."""
    build, seed, duration = sys.argv[1], int(sys.argv[2]), float(sys.argv[3])
    if len(sys.argv) > 4:
        hosts = int(sys.argv[4])
    soak = kind(build, seed, duration, hosts)
    try:
        soak.run()
    finally:
        soak.close()
    sys.exit(soak.report())


if __name__ == "__main__":
    main(Soak, 3)
