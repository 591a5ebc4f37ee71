#!/usr/bin/env python3
"""Fault soak of the rate limits that servers state.

Usage: limits.py BUILD_DIR SEED DURATION_S [HOSTS]

Runs host processes with the platform's stand-ins under more load than the
limited servers accept. Drawn from the seed, servers state limits that change,
fall and end, one or all at once; hosts are killed, stopped and suspended, one
after the other; servers restart, and their records lapse.

Checks these invariants by what callers and servers observed:
  limit   in any 4 s, a server that has stated a limit for 4 s gets no more than
          1.5 times what it allows, and 5 requests, from hosts that have passed
          on such an answer half a second before; the sends of a host within 4 s
          after a fault of its own don't count
  used    a server gets at least half of its limit while no host has a fault
  ended   a server whose limit has ended gets more than the limit again
  alive   no host exits by itself, and no sanitizer reports anything
Prints counts and every violated invariant (BREACH); exits with 1 if there is
one.
"""

import bisect
import re
import signal
import sys
import time

import hosts

WINDOW_S = 4.0
CONTACT_S = 4.0
TOLD_S = 0.5
LIMITS = ("0", "0.3", "1", "1", "2.5", "6", "15")
# Shorter periods of a limit are not checked for their use.
USED_S = 8.0
# At the lowest rate, one request in 5 s notices the end of a limit.
ENDED_S = 12.0


class Period:
    """The time in which a server states the same limit, or none (0)."""

    def __init__(self, server, per_s, first_s, begin_s):
        self.server, self.per_s = server, per_s
        self.first_s = first_s  # when the server first stated some limit
        self.begin_s, self.end_s = begin_s, None


class LimitSoak(hosts.Soak):
    def __init__(self, build, seed, duration, host_count):
        super().__init__(build, seed, duration, host_count)
        self.periods = {}
        self.past_periods = []
        self.faults = []  # (host, begin, end)
        self.told = {}  # first answer with a limit: (host, server) -> time
        self.host_of = {}
        self.most_used = 0.0

    def now(self):
        return time.time()

    def caller(self, caller_number):
        """Sends requests to one host after the other."""
        serial = 0
        while not self.ended:
            serial += 1
            host = (caller_number + serial) % self.hosts
            request_id = "c%d-%d" % (caller_number, serial)
            self.host_of[request_id] = host
            try:
                connection = hosts.http.client.HTTPConnection(
                    "%s.%d" % (self.net, host + 1), 8080, timeout=4)
                status, headers, _ = self.call(connection, request_id, "again")
                connection.close()
            except (OSError, hosts.http.client.HTTPException):
                status, headers = 0, []
            self.note_answer(host, status, dict(headers))
            time.sleep(0.02)

    def note_answer(self, host, status, headers):
        with self.lock:
            self.responses.append(("", "again", status, headers, ""))
            if "Server-Limit" in headers:
                server = headers["X-Peridotpin-Server-Stamp"][len("stamp-"):]
                self.told.setdefault((host, server), self.now())

    def state_limit(self, server, value):
        """The server states the limit from now on, or none if it is None."""
        query = {"value": value} if value is not None else None
        self.control(self.server_address(server), "/control/limit", query)
        now = self.now()
        before = self.end_period(server, now)
        first_s = (before.first_s if before and before.per_s is not None
                   else now)
        self.periods[server] = Period(
            server, float(value) if value is not None else None, first_s, now)

    def end_period(self, server, now):
        period = self.periods.pop(server, None)
        if period:
            period.end_s = now
            self.past_periods.append(period)
        return period

    def fault_host(self, kind):
        host = self.random.randrange(self.hosts)
        begin = self.now()
        if kind == "pause":
            process = self.processes["h%d" % host]
            process.send_signal(signal.SIGSTOP)
            time.sleep(self.random.uniform(0.3, 2.0))
            process.send_signal(signal.SIGCONT)
        else:
            self.restart_host(host, signal.SIGKILL if kind == "kill"
                              else signal.SIGTERM)
        self.faults.append((host, begin, self.now()))

    def restart_limited_server(self, server):
        """A server that restarts has stated nothing."""
        self.collect_arrivals(server)
        self.end_period(server, self.now())
        self.restart_server(server)
        time.sleep(0.5)

    def lapse(self, server):
        """The record goes and returns while the server runs on."""
        self.store("/control/delete",
                   key="servers/" + self.server_name(server))
        time.sleep(self.random.uniform(0.5, 3.0))
        self.put_server(server, "ready")

    def inject_fault(self):
        kind = self.random.choice(("limit",) * 4 + (
            "end", "all", "kill", "term", "pause", "restart", "lapse"))
        server = self.random.randrange(hosts.SERVERS)
        self.count_fault(kind)
        if kind == "limit":
            self.state_limit(server, self.random.choice(LIMITS))
        elif kind == "end":
            self.state_limit(server, None)
        elif kind == "all":
            for index in range(hosts.SERVERS):
                self.state_limit(index, self.random.choice(LIMITS))
        elif kind == "restart":
            self.restart_limited_server(server)
        elif kind == "lapse":
            self.lapse(server)
        else:
            self.fault_host(kind)
        time.sleep(self.random.uniform(1.0, 10.0))

    def collect_arrivals(self, server):
        """Adds the server's arrivals: time, server, and host of the caller."""
        text = self.control(self.server_address(server), "/control/arrivals")
        for line in text.splitlines():
            ms, request_id = line.split()
            host = self.host_of[request_id]
            self.runs.append((int(ms) / 1000, server, host))

    def collect(self, index):
        pass  # the arrivals are collected instead

    def is_excused(self, host, at_s):
        return any(fault_host == host and begin <= at_s <= end + CONTACT_S
                   for fault_host, begin, end in self.faults)

    def has_fault(self, begin_s, end_s):
        return any(begin < end_s and end + CONTACT_S > begin_s
                   for _, begin, end in self.faults)

    def check(self):
        for server in range(hosts.SERVERS):
            self.end_period(server, self.now())
        self.runs.sort()
        for period in self.past_periods:
            arrivals = [run for run in self.runs
                        if run[1] == period.server and
                        period.begin_s <= run[0] < period.end_s]
            if period.per_s is None:
                self.check_ended(period, arrivals)
            else:
                self.check_limit(period, arrivals)
                self.check_used(period, arrivals)

    def check_limit(self, period, arrivals):
        name = self.server_name(period.server)
        allowed = 1.5 * WINDOW_S * period.per_s + 5
        # Hosts learn of a lower limit from the first answers that state it.
        begin_s = max(period.first_s + CONTACT_S, period.begin_s + TOLD_S)
        times = [at_s for at_s, _, host in arrivals if at_s >= begin_s and
                 self.told.get((host, name), at_s) + TOLD_S <= at_s and
                 not self.is_excused(host, at_s)]
        for at, at_s in enumerate(times):
            count = at + 1 - bisect.bisect_right(times, at_s - WINDOW_S)
            if allowed:
                self.most_used = max(self.most_used, count / allowed)
            if count > allowed:
                self.breaches.append(
                    "limit: %s got %d requests in %g s, allowed %g a second" %
                    (name, count, WINDOW_S, period.per_s))
                return

    def check_used(self, period, arrivals):
        length = period.end_s - period.begin_s - CONTACT_S
        if length < USED_S or self.has_fault(
                period.begin_s - 2 * CONTACT_S, period.end_s):
            return
        count = sum(at_s >= period.begin_s + CONTACT_S
                    for at_s, _, _ in arrivals)
        self.count_fault("(checked for use)")
        # Of a window that has only begun, the request may be still to come.
        if count < int(0.5 * period.per_s * length) - 1:
            self.breaches.append(
                "used: %s got %d requests in %.1f s, allowed %g a second" % (
                    self.server_name(period.server), count, length,
                    period.per_s))

    def check_ended(self, period, arrivals):
        if period.end_s - period.begin_s < ENDED_S:
            return
        self.count_fault("(checked for the end)")
        late = [run for run in arrivals if run[0] > period.end_s - WINDOW_S]
        if len(late) < 5:
            self.breaches.append(
                "ended: %s got %d requests %.1f s after its limit ended" % (
                    self.server_name(period.server), len(late),
                    period.end_s - period.begin_s))

    def finish_load(self):
        for index in range(hosts.SERVERS):
            self.collect_arrivals(index)

    def report(self):
        result = super().report()
        print("seed %d: at most %.2f of what the limits allow" % (
            self.seed, self.most_used))
        return result


hosts.main(LimitSoak, 4)
