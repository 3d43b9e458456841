"""A request whose body stalls is rejected at its route's time limit."""

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
from wigeonford.steer._route_stats import RouteStats
from wigeonford.steer._view import ViewBuilder

ROUTE_TIME_LIMIT_S: Final = 2.5
MAX_LATENESS_S: Final = 0.5
"""How long after the route's time limit the users accept a response."""


async def stalled_body() -> AsyncIterator[bytes]:
    """Yield the start of a body, then stall."""
    yield b"begun"
    await asyncio.sleep(60.0)


class SlowBodyTest(unittest.TestCase):
    """The body stalls, and the caller's time limit is above the route's."""

    async def measure_rejection_s(self) -> float:
        """Return how long after its arrival a request was rejected."""
        loop = asyncio.get_running_loop()
        route = make_route(
            "r", "/", is_open=True, timeout_s=ROUTE_TIME_LIMIT_S
        )
        builder = ViewBuilder()
        deployment = make_deployment(route)
        builder.apply(ViewUpdate(0, 1, deployment, (), {}, (), ()))
        view = builder.build()
        admission = Admission(
            lambda: view,
            mock.Mock(),
            mock.Mock(),
            RouteStats.initial,
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
        took_s = run_virtual(self.measure_rejection_s())
        self.assertLess(took_s, ROUTE_TIME_LIMIT_S + MAX_LATENESS_S)
