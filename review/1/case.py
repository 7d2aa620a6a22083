"""Draining after the loss of most machines: requests that a surviving router,
in touch all the while, sends to a runner later than drain-ms after the store
acknowledged that the runner is draining.

Eleven routers run (eight and three spare ones that are added). Ten are killed
and stay away. From `CONTACT_S` later on, runners of the service are replaced
one after the other, while clients send requests that may run once only.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../lib"))
import deployment as d  # noqa: E402

SERVICE = "shopdesk"
DRAIN_S = 2.0    # drain-ms
CONTACT_S = 3.0  # contact-ms
MACHINES = 8
SPARES = 3
RUNNERS = 3
ROUNDS = 24
ROUND_S = 3.2
# How long a runner serves after its report: drain-ms and a little longer.
SERVES_S = 3.4
# In favour of the router: delays of this process in noting the times.
SLACK_S = 0.1


async def send_steadily(client, routers, number):
    while True:
        router = routers[number % len(routers)]
        number += 1
        await client.request(router, "/saw/release")
        await asyncio.sleep(0.05)


async def leave_later(runner):
    await asyncio.sleep(SERVES_S)
    await runner.leave()


async def case(fleet, has_trouble):
    for _ in range(RUNNERS):
        await fleet.add_runner(SERVICE)
    await fleet.configure(d.configuration(
        7, [d.route("/saw/", "non_idempotent", SERVICE)], [SERVICE]))
    await fleet.wait_ready(fleet.add_routers(MACHINES))
    await asyncio.sleep(2)
    await fleet.wait_ready(fleet.add_routers(SPARES))
    await asyncio.sleep(8)
    survivors = fleet.routers
    if has_trouble:
        survivors = fleet.routers[:1]
        for router in fleet.routers[1:]:
            router.kill()
    await asyncio.sleep(CONTACT_S + 1)
    fleet.lag.reset()
    callers = [asyncio.ensure_future(send_steadily(
        d.Client(fleet.record), survivors, i)) for i in range(6)]
    leaves = []
    for i in range(ROUNDS):
        await fleet.add_runner(SERVICE)
        await asyncio.sleep(0.2)
        await fleet.runners[i].drain()
        leaves.append(asyncio.ensure_future(leave_later(fleet.runners[i])))
        await asyncio.sleep(ROUND_S - 0.2)
    for task in callers + leaves:
        task.cancel()
    if not all(router.is_running() for router in survivors):
        raise d.CannotRun("a surviving router ended")
    if fleet.lag.longest > SLACK_S:
        raise d.CannotRun("this machine is too busy for the stand-ins")
    breaches = []
    for runner in fleet.runners:
        if runner.drained_at is None:
            continue
        late = [at - runner.drained_at for at, _ in runner.arrivals
                if at > runner.drained_at + DRAIN_S + SLACK_S]
        if late:
            breaches.append(
                f"DRAIN: {len(late)} requests reached {runner.id} later than "
                f"2 s after the store acknowledged that it is draining; the "
                f"last one {max(late):.2f} s after")
    print(sum(len(runner.arrivals) for runner in fleet.runners),
          "requests ran; stand-ins late by at most",
          f"{fleet.lag.longest * 1000:.0f} ms")
    return breaches


if __name__ == "__main__":
    sys.exit(d.run_case(case, FOLDER))
