"""An evacuation that was acknowledged ends by a retried order of before."""

import asyncio
from pathlib import Path
import signal
import sys

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from fleet import (  # noqa: E402
    CannotRun, Client, configuration, find_leader, Fleet, main, Operator,
    route, service, Upstream, wait_ready,
)

ZONES = {"south-a": "south", "south-b": "south", "north-a": "north",
         "north-b": "north", "northwest-a": "northwest"}
HOST, KEY, ZONE = "jepu9.example", "tnfzs989anu6wsjnbanf", "south-b"
FROZEN_S = 4.0
# The unstable core stretches the deadline by `outer_bound_s`.
DEADLINE_S = 5.0 + 6.0
CONTACT_WINDOW_S = 4.0


async def run(record, trouble):
    fleet = Fleet(record, ZONES, list(ZONES), ["south-a", "south-b"])
    upstreams = [
        Upstream(fleet, f"i-{zone}-{i}", "ledger", zone, n)
        for n, (zone, i) in enumerate(
            (zone, i) for zone in ("south-a", "south-b") for i in range(2)
        )
    ]
    try:
        return await play(record, trouble, fleet, upstreams)
    finally:
        for upstream in upstreams:
            await upstream.stop()
        fleet.end()


async def play(record, trouble, fleet, upstreams):
    fleet.start()
    operator = Operator(fleet)
    document = configuration(
        "00000001", [service("ledger")], HOST,
        [route("r-1", "/lepu/", "ledger")], KEY,
    )
    answer = await operator.put_configuration(document, "00000000")
    if answer is None or answer.status != 200:
        raise CannotRun("the configuration was not accepted")
    for upstream in upstreams:
        await upstream.start()
    await wait_ready(fleet)
    await asyncio.sleep(3.0)
    client = Client(fleet, HOST, KEY)
    traffic = asyncio.create_task(send_all(client, fleet))
    await asyncio.sleep(2.0)

    leader = find_leader(fleet)
    record(f"leader is {leader.name if leader else None}")
    followers = [c for c in fleet.controls if c is not leader]
    frozen, others = followers[0], followers[1:]

    await must(operator.order("POST", f"/evacuation/{ZONE}", first=others[:1]))
    await asyncio.sleep(2.0)
    if trouble:
        frozen.signal(signal.SIGSTOP)
    frozen_s = record.now()
    await asyncio.sleep(0.3)
    # The operator picks among the nodes; this one is its first choice.
    await must(operator.order(
        "DELETE", f"/evacuation/{ZONE}", first=[frozen, others[0]]
    ))
    await asyncio.sleep(0.7)
    await must(operator.order("POST", f"/evacuation/{ZONE}", first=others[:1]))
    acked_s = record.now()
    record(f"evacuation of {ZONE} acknowledged")
    await asyncio.sleep(max(0.0, frozen_s + FROZEN_S - record.now()))
    if trouble:
        frozen.signal(signal.SIGCONT)
    await asyncio.sleep(max(0.0, frozen_s + FROZEN_S + 16.0 - record.now()))
    traffic.cancel()
    in_touch_s = frozen_s + FROZEN_S + CONTACT_WINDOW_S
    late = [
        (at_s, request_id, upstream.name)
        for upstream in upstreams if upstream.zone == ZONE
        for at_s, request_id in upstream.runs
        if at_s > max(acked_s + DEADLINE_S, in_touch_s)
    ]
    served = sum(answer is not None and answer.status == 200
                 for _, _, answer in client.answers)
    record(f"{served} of {len(client.answers)} requests were served")
    if served < 100:
        raise CannotRun("too few requests were served")
    record(f"{len(late)} requests reached {ZONE} too late")
    return [
        f"EVAC: {request_id} reached {name} {at_s - acked_s:.1f} s after the "
        "acknowledgement" for at_s, request_id, name in late[:5]
    ]


async def must(order):
    answer = await order
    if answer is None or answer.status != 200:
        raise CannotRun("an order was not acknowledged")


async def send_all(client, fleet):
    tasks = set()
    for number in range(900):
        entry = fleet.entries[number % 2]
        task = asyncio.create_task(client.send(
            entry, f"/lepu/{number}", object_id=str(number)
        ))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.05)


if __name__ == "__main__":
    main(HERE, run)
