"""Seven hosts in three zones. All but one are killed at the same moment and
start again; in between, a server's entry is removed, and the server goes on
serving for some seconds. The host that ran all the while must not send to it
any more once drain_ms is over. Three rounds: each host of the zone with three
hosts is the one that is left once."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import *  # noqa: E402,F403

ZONES = {"waikato-a": "waikato", "canterbury-a": "canterbury",
         "northland-a": "northland"}
HOSTS = {1: "waikato-a", 2: "waikato-a", 3: "waikato-a", 4: "canterbury-a",
         5: "canterbury-a", 6: "northland-a", 7: "northland-a"}
SEEDS = [4, 5, 6]
SURVIVORS = (1, 2, 3)
CALM_S = 6.0  # over contact_ms
REMOVED_AFTER_S = 0.1
RESTART_AFTER_S = 0.3
DRAIN_S = 3.0
LEAVES_AFTER_S = 9.0


async def case(record, fleets):
    net = pick_network()
    store = Store(record, net + ".250")
    await store.start()
    leaving = [Server(record, net + ".250", "i-leaves-%d" % number, "app",
                      "waikato-a") for number in SURVIVORS]
    staying = [Server(record, net + ".250", "i-stays-%d" % number, "app",
                      "waikato-a") for number in (1,)]
    for server in leaving + staying:
        await server.start()
        await store.put("servers/" + server.name, server.entry())
    await store.put("op/config", config(1))
    fleet = Fleet(record, store, ZONES, net)
    fleets.append(fleet)
    for number, zone in HOSTS.items():
        fleet.start(number, zone, SEEDS)
    for number in HOSTS:
        await fleet.wait_ready(number)

    count = 0

    async def client(number, until):
        """Sends lookups to a host, one each 50 ms."""
        nonlocal count
        while time.monotonic() < until:
            count += 1
            await ask(fleet.front(number), "a%d-%d" % (number, count),
                      "/lookup/bull-17")
            await asyncio.sleep(0.05)

    broken = False
    for survivor, server in zip(SURVIVORS, leaving):
        await asyncio.sleep(CALM_S)
        others = [number for number in HOSTS if number != survivor]
        if trouble():
            for number in others:
                fleet.signal(number, signal.SIGKILL)
        await asyncio.sleep(REMOVED_AFTER_S)
        await store.delete("servers/" + server.name)
        acked = time.monotonic()
        load = asyncio.ensure_future(client(survivor, acked + LEAVES_AFTER_S))
        await asyncio.sleep(RESTART_AFTER_S - REMOVED_AFTER_S)
        if trouble():
            for number in others:
                fleet.start(number, HOSTS[number], SEEDS)
        await load
        late = [run for run in server.runs if run[0] > acked + DRAIN_S]
        record.write("runs at %s later than drain_ms after its removal's ack, "
                     "sent by host %d: %d" % (server.name, survivor, len(late)))
        if late:
            record.write("the last one: %s, %.0f ms after the ack"
                         % (late[-1][1], (late[-1][0] - acked) * 1000))
            broken = True
        server.server.close()
        record.write("server %s: ends" % server.name)
    return BROKEN if broken else HELD


main(case, __file__)
