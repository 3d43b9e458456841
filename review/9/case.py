"""A request that crashes upstreams is forgotten when processes restart."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))

import fleet as stand_ins  # noqa: E402

CONTACT_WINDOW_S = 4.0
MAX_LATE_ARRIVALS = 3
"""Of the rule BUDGET, from `CONTACT_WINDOW_S` after the third crash on."""
RUN_S = 0.1
BACK_AFTER_S = 2.0
"""When a crashed upstream is back."""
RETRY_PAUSE_S = 0.4
RETRIES_S = 45.0
"""How long the caller goes on after the restart."""
BODY = b"claim 17"


class Crashes:
    """Upstreams that one request crashes, and what they have seen."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._record = fleet.record
        self.arrivals_s = []
        self.crashes_s = []
        self._returns = set()
        for number in range(5):
            upstream = stand_ins.Upstream(fleet, number)
            upstream.behave = self._behave_as(upstream)

    def _behave_as(self, upstream):
        async def behave(req, writer):
            if req["path"] != "/unsafe/deadly":
                return await upstream.answer(req, writer)
            self.arrivals_s.append(self._record.now())
            self._record.add(f"upstream {upstream.id}: begins {req['id']}")
            await asyncio.sleep(RUN_S)
            self.crashes_s.append(self._record.now())
            self._record.add(f"upstream {upstream.id}: crashes")
            upstream.crash()
            task = asyncio.create_task(self._return(upstream))
            self._returns.add(task)
            return False

        return behave

    @staticmethod
    async def _return(upstream):
        await asyncio.sleep(BACK_AFTER_S)
        await upstream.start()

    async def close(self):
        for task in self._returns:
            task.cancel()


async def retry(fleet, until_s, is_done=lambda: False):
    """Send the request again and again, to one entry VM after the other."""
    number = 0
    while fleet.record.now() < until_s and not is_done():
        node = fleet.entries[number % len(fleet.entries)]
        await stand_ins.send_request(fleet, node, "/unsafe/deadly", BODY)
        await asyncio.sleep(RETRY_PAUSE_S)
        number += 1


async def restart_all(fleet):
    """Kill all processes at the same moment, and start them again."""
    for node in fleet.nodes:
        node.send_signal(stand_ins.signal.SIGKILL)
    fleet.record.add("all processes of the system are killed")
    for node in fleet.nodes:
        await node.kill()
    await asyncio.sleep(0.5)
    for node in fleet.nodes:
        await node.start()
    fleet.record.add("all processes are started again")


async def play(record, trouble):
    fleet = stand_ins.Fleet(record, controls=3, entries=2)
    crashes = Crashes(fleet)
    try:
        await fleet.serve()
        await retry(
            fleet, record.now() + 20.0, lambda: len(crashes.crashes_s) >= 3
        )
        if len(crashes.crashes_s) < 3:
            raise stand_ins.CannotRun("fewer than three crashes")
        late_from_s = crashes.crashes_s[2] + CONTACT_WINDOW_S
        await asyncio.sleep(CONTACT_WINDOW_S + 0.5)
        if trouble:
            await restart_all(fleet)
        await fleet.wait_until_ready()
        # All machines are in touch again before the caller comes back.
        await asyncio.sleep(CONTACT_WINDOW_S + 1.0)
        await retry(fleet, record.now() + RETRIES_S)
        late = [at_s for at_s in crashes.arrivals_s if at_s > late_from_s]
        record.add(
            f"{len(late)} arrivals later than {CONTACT_WINDOW_S:g} s after"
            f" the third crash; {MAX_LATE_ARRIVALS} are allowed"
        )
        return len(late) > MAX_LATE_ARRIVALS
    finally:
        await crashes.close()
        await fleet.close()


if __name__ == "__main__":
    sys.exit(stand_ins.run_case(pathlib.Path(__file__).parent, play))
