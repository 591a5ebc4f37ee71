"""A tenant's keys are added by new versions of the configuration, one for each
of its counters; every key is used 4 s after the last version's
acknowledgement."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import *  # noqa: E402,F403

KEYS = ["counter%02dnfzs989anu6wsjnb" % number for number in range(70)]
KEYS_BEFORE = 60
GAP_S = 0.5
APPLY_S = 3.0


async def case(record, fleets):
    net = pick_network()
    store = Store(record, net + ".250")
    await store.start()
    for number in (1, 2):
        server = Server(record, net + ".250", "i-%d" % number, "app", "waikato-a")
        await server.start()
        await store.put("servers/" + server.name, server.entry())
    await store.put("op/config", config(1, KEYS[:KEYS_BEFORE]))
    fleet = Fleet(record, store, {"waikato-a": "waikato"}, net)
    fleets.append(fleet)
    for number in (1, 2):
        fleet.start(number, "waikato-a", [1, 2])
    for number in (1, 2):
        await fleet.wait_ready(number)
    await asyncio.sleep(4.5)  # in touch

    keys = KEYS[:KEYS_BEFORE]
    version = 1
    while trouble() and len(keys) < len(KEYS):
        keys = KEYS[:len(keys) + 1]
        version += 3
        await store.put("op/config", config(version, keys))
        record.write("operator: version %d with %d keys is acknowledged"
                     % (version, len(keys)))
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(APPLY_S + 1)

    refused = 0
    for host in (1, 2):
        for count, key in enumerate(keys):
            attempt = "a%d-%d" % (host, count)
            record.write("client: sends %s with key %d" % (attempt, count + 1))
            answer = await ask(fleet.front(host), attempt, "/lookup/bull-17",
                               key)
            status = answer[0] if answer else None
            record.write("client: answer to %s: %s" % (attempt, status))
            refused += status in (401, 403, 404)
    record.write("refused though the key is in version %d: %d of %d"
                 % (version, refused, 2 * len(keys)))
    return BROKEN if refused else HELD


main(case, __file__)
