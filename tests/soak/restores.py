#!/usr/bin/env python3
"""Fault soak of a store that is restored from older copies.

Usage: restores.py BUILD_DIR SEED DURATION_S [HOSTS]

Runs host processes with the platform's stand-ins and sends requests. Drawn from
the seed, the operator publishes configurations and the store goes back to an
older revision, also twice within a second; then the operator and the servers
write again. Meanwhile hosts are killed, stopped and suspended, connections to
the store are delayed, cut or reset, the store compacts its history, and answers
slowly. Its records fill several pages of a listing.

Checks these invariants by probes of every host; each configuration has a route
of its own version only:
  applied  a configuration is in force on each host APPLY_S after it was written
           and the hosts have had CATCH_UP_S since the last fault
  forward  a host that has served a version serves no earlier one later, until
           it is restarted
  served   after the last fault all hosts serve the plain routes
  alive    no host exits by itself, and no sanitizer reports anything
Prints counts and every violated invariant (BREACH); exits with 1 if there is
one.
"""

import http.client
import json
import signal
import threading
import time

import hosts

# Times in which hosts follow a change, and reach the store again after a fault.
APPLY_S = 3.0
CATCH_UP_S = 4.0
REWRITE_S = 1.0
# Servers of a service without a route. Their records surround those of the others
# in a listing, of which the stand-in sends two a page.
SPARE_SERVERS = ("a0", "a1", "a2", "z0", "z1", "z2")
MAX_STORE_DELAY_MS = 400


class RestoreSoak(hosts.Soak):
    def __init__(self, build, seed, duration, host_count):
        super().__init__(build, seed, duration, host_count)
        self.published = 0.0  # when the newest version was written
        self.fault_end = 0.0  # of the last fault
        self.served = {}  # host -> (process id, highest version)
        self.sequence = 1
        self.records = threading.Lock()

    def put(self, key, value):
        self.store("/control/put", key=key, value=json.dumps(value))

    def put_server(self, index, state):
        self.sequence += 1
        self.put("servers/" + self.server_name(index), {
            "service": "plain", "zone": "d1" if index < 2 else "d2",
            "address": "%s.%d:8001" % (self.net, 100 + index), "slots": 4,
            "state": state, "cold_remaining_ms": 0,
            "sequence": self.sequence, "born": self.born})

    def put_spare_servers(self):
        """Changes some records of the spare servers, and removes others."""
        for name in SPARE_SERVERS:
            draw = self.random.random()
            if draw < 0.2:
                self.store("/control/delete", key="servers/" + name)
            elif draw < 0.6:
                self.sequence += 1
                self.put("servers/" + name, {
                    "service": "spare", "zone": "d1",
                    "address": "%s.199:8001" % self.net, "slots": 4,
                    "state": "ready", "cold_remaining_ms": 0,
                    "sequence": self.sequence, "born": self.born})

    def write_config(self):
        routes = [{"name": path, "hostname": "h.example",
                   "prefix": "/%s/" % path, "route_type": kind,
                   "timeout_ms": 1500, "target_latency_ms": 300,
                   "priority": 1, "service": "plain", "max_attempts": attempts,
                   "stream_resume": attempts > 1, "itl_target_ms": 200,
                   "public": True}
                  for path, kind, attempts in (
                      ("once", "non_idempotent", 1),
                      ("again", "idempotent", 2), ("stream", "streaming", 2),
                      ("v%d" % self.version, "idempotent", 2))]
        self.put("op/config", {
            "version": self.version, "routes": routes,
            "services": [{"name": "plain", "max_connections": 200}],
            "limits": {"max_header_bytes": 8192, "max_body_bytes": 65536,
                       "header_timeout_ms": 2000, "idle_timeout_ms": 5000}})
        self.published = time.monotonic()

    def put_config(self):
        with self.records:
            self.put_spare_servers()
            self.version += self.random.randrange(1, 4)
            self.write_config()

    def restore(self):
        """Goes back by some changes, at times twice, and writes again."""
        with self.records:
            for _ in range(self.random.choice((1, 1, 2))):
                revision = int(self.store("/control/revision"))
                back = max(1, revision - self.random.randrange(1, 8))
                self.store("/control/restore", revision=back)
                time.sleep(self.random.uniform(0.0, 0.5))
            time.sleep(self.random.uniform(0.0, REWRITE_S))
            for index in range(hosts.SERVERS):
                self.put_server(index, "ready")
            self.put_spare_servers()
            if self.random.random() < 0.7:
                self.version += 1
            self.write_config()

    def inject_fault(self):
        kind = self.random.choice(("restore", "restore", "config", "config",
                                   "kill", "term", "pause", "proxy", "reset",
                                   "forget", "slow", "spare"))
        self.count_fault(kind)
        duration = self.random.uniform(0.2, 1.5)
        index = self.random.randrange(self.hosts)
        if kind == "restore":
            self.restore()
            duration = 0.0
        elif kind == "config":
            self.put_config()
            duration = 0.0
        elif kind in ("kill", "term"):
            number = signal.SIGKILL if kind == "kill" else signal.SIGTERM
            self.run_later(0, lambda: self.restart_host(index, number))
            duration = 6.0 if kind == "term" else 1.0
        elif kind == "pause":
            process = self.processes["h%d" % index]
            process.send_signal(signal.SIGSTOP)
            self.run_later(duration,
                           lambda: process.send_signal(signal.SIGCONT))
        elif kind == "proxy":
            proxy = self.proxies["store"]
            proxy.fault = self.random.choice(("delay", "silence", "cut-out"))
            self.run_later(duration, lambda: setattr(proxy, "fault", None))
        elif kind == "slow":
            self.store("/control/delay",
                       ms=self.random.randrange(MAX_STORE_DELAY_MS))
            self.run_later(duration,
                           lambda: self.store("/control/delay", ms=0))
        elif kind == "spare":
            with self.records:
                self.put_spare_servers()
            duration = 0.0
        elif kind == "reset":
            self.proxies["store"].reset()
        else:
            self.store("/control/forget")
        self.fault_end = max(self.fault_end, time.monotonic() + duration)
        # Calm periods, so that "applied" is checked.
        if self.random.random() < 0.2:
            self.wait_calm()

    def wait_calm(self):
        """Waits until the last change is due, and checks it."""
        calm = max(self.published, self.fault_end + CATCH_UP_S) + APPLY_S
        time.sleep(max(0.0, calm - time.monotonic()))
        self.check_applied()

    def probe(self, index, version):
        """Returns the status of a request on the route of a version."""
        try:
            connection = http.client.HTTPConnection(
                "%s.%d" % (self.net, index + 1), 8080, timeout=3)
            connection.request("GET", "/v%d/p" % version, None, {
                "Host": "h.example", "X-Peridotpin-Attempt-Id":
                "p%d-%d-%d" % (index, version, time.monotonic_ns()),
                "X-Peridotpin-Deadline-Ms": "2500"})
            status = connection.getresponse().status
            connection.close()
            return status
        except (OSError, http.client.HTTPException):
            return 0

    def check_applied(self):
        for index in range(self.hosts):
            process = self.processes.get("h%d" % index)
            status = self.probe(index, self.version)
            if status == 404:
                self.breaches.append("applied: h%d lacks version %d" % (
                    index, self.version))
            elif status == 200 and process:
                self.served[index] = (process.pid, self.version)

    def watch_versions(self):
        """Probes hosts for versions older than one that they have served."""
        while not self.ended:
            for index in range(self.hosts):
                process = self.processes.get("h%d" % index)
                version = self.version
                if not process:
                    continue
                if self.probe(index, version) == 200:
                    known = self.served.get(index, (0, 0))
                    self.served[index] = (process.pid,
                                          max(version, known[1])
                                          if known[0] == process.pid
                                          else version)
                pid, highest = self.served.get(index, (0, 0))
                for older in range(max(1, highest - 6), highest):
                    if (pid == process.pid and
                            self.probe(index, older) == 200 and
                            self.processes.get("h%d" % index) is process):
                        self.breaches.append(
                            "forward: h%d serves version %d after %d" % (
                                index, older, highest))
            time.sleep(0.1)

    def run(self):
        watcher = threading.Thread(target=self.watch_versions, daemon=True)
        threading.Timer(2.5, watcher.start).start()
        super().run()

    def finish_load(self):
        super().finish_load()
        self.wait_calm()
        for index in range(self.hosts):
            if self.probe(index, self.version) != 200:
                self.breaches.append("served: h%d" % index)


if __name__ == "__main__":
    hosts.main(RestoreSoak, 4)
