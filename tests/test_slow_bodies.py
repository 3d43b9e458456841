"""A caller whose body does not come is answered at its time limit."""

import asyncio
from collections.abc import AsyncIterator
import random
from typing import Final
import unittest
from unittest import mock

from msgspec.structs import replace

from tests.test_attempts import make_request
from tests.test_deployment import make_deployment, make_route
from tests.virtual_time import run_virtual
from wigeonford.errors import Code, RequestRejected, RunState
from wigeonford.events import EventLog
from wigeonford.messages.steering import ViewUpdate
from wigeonford.steer._admission import Admission
from wigeonford.steer._suspects import SuspectTable
from wigeonford.steer._view import ViewBuilder

ROUTE_S: Final = 2.5
ANSWER_LATE_S: Final = 0.5
"""How long after the route's time limit the users bear to wait."""


async def stalled_body() -> AsyncIterator[bytes]:
    """Return a body that stops amid."""
    yield b"begun"
    await asyncio.sleep(60.0)


class SlowBodyTest(unittest.TestCase):
    """The body stops; the caller waits longer than its route allows."""

    async def admit_s(self) -> float:
        """Return when a request was refused, in s after it arrived."""
        loop = asyncio.get_running_loop()
        route = make_route("r", "/", is_open=True, timeout_s=ROUTE_S)
        builder = ViewBuilder()
        deployment = make_deployment(route)
        builder.apply(ViewUpdate(0, 1, deployment, (), {}, (), ()))
        view = builder.build()
        admission = Admission(
            lambda: view,
            mock.Mock(),
            mock.Mock(),
            SuspectTable(),
            EventLog(),
            random.Random(1),
            loop.time,
        )
        req = replace(
            make_request(),
            host="old.example",
            body=stalled_body(),
            has_body=True,
            time_left_s=30.0,
            arrived_at_s=loop.time(),
        )
        with self.assertRaises(RequestRejected) as raised:
            await admission.admit(req)
        self.assertIs(Code.BODY_TOO_SLOW, raised.exception.code)
        self.assertIs(RunState.NOT_RUN, raised.exception.run_state)
        return loop.time() - req.arrived_at_s

    def test_stalled_body_is_refused_at_the_routes_time_limit(self) -> None:
        took_s = run_virtual(self.admit_s())
        self.assertLess(took_s, ROUTE_S + ANSWER_LATE_S)
