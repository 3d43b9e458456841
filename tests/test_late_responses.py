"""A target's response that came before its time limit is passed on."""

import asyncio
import time

from tests.test_dispatch import (
    Behaviour,
    DispatchCase,
    FakeTarget,
    WHOLE_RESPONSE,
)

BEFORE_END_S = 0.05
STALL_S = 2 * BEFORE_END_S
HEAD_BYTES = len(WHOLE_RESPONSE) - 1
DEADLINE_S = 2.0
"""As `DispatchCase` sets it."""


def respond_before(limit_s: float, head_bytes: int) -> Behaviour:
    """Send the rest of a response just before a limit, then stand still."""

    async def behave(
        _target: FakeTarget, _head: bytes, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(WHOLE_RESPONSE[:head_bytes])
        await asyncio.sleep(limit_s - BEFORE_END_S)
        writer.write(WHOLE_RESPONSE[head_bytes:])
        time.sleep(STALL_S)

    return behave


class LateResponseTest(DispatchCase):
    """Respond to a request while the process stands still past its limit."""

    async def test_head_before_its_limit_is_passed_on(self) -> None:
        await self.add_target(respond_before(self.service.timeout_s, 0))
        response = await self.forward(idempotent=False)
        self.assertEqual(b"ok", response.body)

    async def test_body_before_the_deadline_is_passed_on(self) -> None:
        await self.add_target(respond_before(DEADLINE_S, HEAD_BYTES))
        response = await self.forward(idempotent=False)
        self.assertEqual(b"ok", response.body)
