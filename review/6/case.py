"""A part crashes servers at a quiet moment of its route."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins_2 as s  # noqa: E402

PARTS = int(os.environ.get("PARTS", "8"))  # of each prompt, with the last one
CONTACT_S = 4.0
CALM_S = 12.0  # of sound requests before the quiet moment
QUIET_S = 6.0  # without sound requests
ALONE_S = 3.0  # of it, before the first request with the part
CRASHING_S = 45.0
SOUND_PAUSE_S = 0.2  # between two sound requests
CRASHING_PAUSE_S = 0.5  # between two requests with the crashing part
CRASH_PART = "dead0f"
DOWN_S = 4.0
FIRST_EVENT_S = 0.15
MIN_REQUESTS = 20
BUDGET = 3


def prompt(number, crashing):
    """Returns the parts of a prompt: all but the last are shared, but for the
    crashing one, which takes the place of the one before the last."""
    parts = ["%x:%d" % (0xa0000 + i, 50) for i in range(PARTS - 2)]
    parts.append("%s:50" % (CRASH_PART if crashing else "b0b"))
    parts.append("%x:60" % (0xc0000 + number))
    return [("X-Peridotpin-Model", "m"),
            ("X-Peridotpin-Token-Counts", "%d,20" % (50 * PARTS + 10)),
            ("X-Peridotpin-Prompt-Prefix", ",".join(parts))]


class CrashingServer(s.Server):
    crashes = []
    trouble = False

    async def crash(self, run):
        """Ends all connections and the listener, and starts again later."""
        self.crashes.append(s.now())
        self.record.add("%s crashes on %s" % (self.name, run.id))
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(DOWN_S)
        await self.start()
        self.store.put("servers/" + self.name,
                       self.entry("desk", "mtl-a", 64))
        self.record.add("%s is back" % self.name)


async def stream(server, run, writer):
    await asyncio.sleep(FIRST_EVENT_S)
    parts = run.fields.get("x-peridotpin-prompt-prefix", "")
    if server.trouble and CRASH_PART + ":" in parts:
        s.start_task(server.crash(run))
        await asyncio.sleep(1)
        return False
    writer.write(s.message("HTTP/1.1 200 OK", server.stamp(run) + [
        ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked")]))
    for number in range(1, 9):
        event = b"id: %d\ndata: x\n\n" % number
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.03)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


async def ask(host, number, crashing, record):
    request_id = "%s-%04d" % ("crashing" if crashing else "sound", number)
    try:
        reader, writer = await asyncio.open_connection(*host.front)
    except OSError:
        return
    try:
        writer.write(s.request("POST", "/query/2f", request_id, 6000,
                               b"q%d" % number, prompt(number, crashing)))
        answer = await s.read_answer(reader)
        record.add("answer to %s: %s" % (request_id,
                                         answer[0] if answer else "cut off"))
    except OSError:
        record.add("answer to %s: reset" % request_id)
    writer.close()


async def send_all(hosts, crashing, pause_s, for_s, record, sent):
    """Sends requests in turn to the hosts, one every pause_s."""
    end = s.now() + for_s
    number = len(sent)
    while s.now() < end:
        request_id = "%s-%04d" % ("crashing" if crashing else "sound", number)
        sent.append((request_id, s.now()))
        record.add("consumer sends %s to %s" % (
            request_id, hosts[number % len(hosts)].name))
        s.start_task(ask(hosts[number % len(hosts)], number, crashing, record))
        number += 1
        await asyncio.sleep(pause_s)


def share_begun(servers, sent, begin, end):
    begun = {run.id for server in servers for run in server.runs}
    ids = [i for i, at in sent if begin <= at < end]
    return len(ids), sum(i in begun for i in ids) / max(1, len(ids))


def judge(servers, sound, crashing, calm, end, record):
    """True if the rules LOST and BUDGET for crashing parts held."""
    crashes = sorted(CrashingServer.crashes)
    record.add("%d crashes" % len(crashes))
    if not crashes:
        return True
    fifth = crashes[min(4, len(crashes) - 1)]
    count, before = share_begun(servers, sound, *calm)
    late_count, after = share_begun(servers, sound, fifth + 2 * CONTACT_S, end)
    late = sum(run.arrived > fifth + CONTACT_S for server in servers
               for run in server.runs if run.id.startswith("crashing"))
    record.add("sound requests that began: %.2f of %d before, %.2f of %d from "
               "2 x contact_ms after the fifth crash" % (before, count, after,
                                                         late_count))
    record.add("%d requests with the part reached servers later than "
               "contact_ms after the fifth crash" % late)
    if count < MIN_REQUESTS or late_count < MIN_REQUESTS:
        raise s.CannotRun("too few sound requests")
    return after >= before / 2 and late <= BUDGET


async def main(record, trouble):
    net = s.draw_network()
    store = s.Store((net + ".250", 8223))
    await store.start()
    zones = {"mtl-a": "montreal", "qc-a": "quebec-city"}
    CrashingServer.trouble = trouble
    servers = []
    for number in range(9):
        server = CrashingServer("i-%d" % number,
                                ("%s.%d" % (net, 100 + number), 8080), stream,
                                record)
        server.store = store
        await server.start()
        store.put("servers/" + server.name, server.entry("desk", "mtl-a", 64))
        servers.append(server)
    store.put("op/config", s.config(7, [
        s.route("query", "/query/", "streaming", "desk", 6000, 400)],
        [s.service("desk", engine={"slots": 64})]))
    hosts = [s.Host(net, 1, zones, "mtl-a", store.address, [1, 2], {}),
             s.Host(net, 2, zones, "qc-a", store.address, [1, 2], {})]
    sound, crashing = [], []
    try:
        for host in hosts:
            await host.start()
        await s.wait_ready(hosts)
        await asyncio.sleep(4)
        begin = s.now()
        calm = (begin + 2, begin + CALM_S)
        await send_all(hosts, False, SOUND_PAUSE_S, CALM_S, record, sound)
        record.add("a quiet moment")
        await asyncio.sleep(ALONE_S)
        record.add("requests with the part begin")
        end = s.now() + CRASHING_S
        attack = s.start_task(send_all(
            hosts, True, CRASHING_PAUSE_S, CRASHING_S, record, crashing))
        await asyncio.sleep(QUIET_S - ALONE_S)
        record.add("sound requests come again")
        await send_all(hosts, False, SOUND_PAUSE_S, end - s.now(), record,
                       sound)
        await attack
        await asyncio.sleep(7)
    finally:
        for host in hosts:
            await host.stop()
    return judge(servers, sound, crashing, calm, end, record)


s.run_case(main, FOLDER, os.environ.get("TROUBLE", "1") != "0")
