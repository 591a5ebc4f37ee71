"""Stand-in of the platform's store, see platform.py."""

import base64
import json
import threading
import time
import urllib.parse


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
