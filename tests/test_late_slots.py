"""A slot that is free as the wait for it ends is used."""

import asyncio
import socket
import time
from unittest import mock

from tests.test_dispatch import DispatchCase
from wigeonford.entry import _slots

MAX_WAIT_S = 0.2
BEFORE_END_S = 0.05
STALL_S = 2 * BEFORE_END_S


class LateSlotTest(DispatchCase):
    """Wait for the only slot of a target while the process stands still."""

    async def test_slot_that_was_free_before_the_wait_ended_is_used(
        self,
    ) -> None:
        self.announce(1, slots=1)
        deadline_s = time.monotonic() + 60.0
        offer = await self.slots.acquire("catalogue", None, (), deadline_s)
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        ours.setblocking(False)

        async def respond() -> None:
            await asyncio.get_running_loop().sock_recv(ours, 1)
            self.slots.release("catalogue", None, offer)

        responding = asyncio.create_task(respond())
        with mock.patch.object(_slots, "MAX_WAIT_S", MAX_WAIT_S):
            waiting = asyncio.create_task(
                self.slots.acquire("catalogue", None, (), deadline_s)
            )
            await asyncio.sleep(MAX_WAIT_S - BEFORE_END_S)
            theirs.send(b"+")
            time.sleep(STALL_S)
            self.assertEqual(offer, await waiting)
        await responding
        self.slots.release("catalogue", None, offer)
