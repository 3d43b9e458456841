"""Run states of requests that are spilled over to another region."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import dataclasses
import io
import logging
import random
import time
from types import SimpleNamespace
from typing import Any
import unittest

from wigeonford.bench import load_deployment
from wigeonford.entry import EntryConfig, HopReceiver, RegionalDispatcher
from wigeonford.entry._outbound import Outbound
from wigeonford.errors import Code, RequestRejected, RunState
from wigeonford.events import configure_logging, EventLog
from wigeonford.http import (
    error_response,
    HttpServer,
    Request,
    Response,
    ResponseBroken,
    result_headers,
)
from wigeonford.messages.object import Member
from wigeonford.settings import Address, CallerLimits

LENGTH = (b"content-length", b"4")
FORWARDED = result_headers(Code.FORWARDED, RunState.RAN)


async def _stall(_request: Request) -> Response:
    await asyncio.sleep(5.0)
    return Response(200)


async def _truncate_body(_request: Request) -> Response:
    async def body() -> AsyncIterator[bytes]:
        yield b"a"
        raise ResponseBroken("cut")

    return Response(200, (LENGTH, *FORWARDED), body())


async def _reject_no_capacity(_request: Request) -> Response:
    return error_response(RequestRejected(Code.HOP_NO_CAPACITY))


async def _reject_timeout(_request: Request) -> Response:
    return error_response(RequestRejected(Code.ANSWER_TIMEOUT))


async def _respond_without_code(_request: Request) -> Response:
    return Response(200, (LENGTH,), b"what")


async def _respond(_request: Request) -> Response:
    return Response(200, (LENGTH, *FORWARDED), b"good")


class HopStatesTest(unittest.IsolatedAsyncioTestCase):
    """Reject requests at home and vary the response of the peer region."""

    def setUp(self) -> None:
        configure_logging(io.StringIO(), logging.INFO)
        self.objects = load_deployment("guild").objects
        self.peer_request_count = 0
        self.home_rejection = RequestRejected(Code.NO_CAPACITY)
        self.reads_body = False

    async def forward(self, outbound: Outbound) -> Response:
        """Stand in for the home dispatcher: reject each request."""
        if self.reads_body and not isinstance(outbound.body, bytes):
            await anext(outbound.body)
        raise self.home_rejection

    async def acquire_bytes(self, *_args: object) -> None:
        """Stand in for a link without a bandwidth limit."""

    async def spill(
        self,
        peer: Callable[[Request], Awaitable[Response]],
        **changes: Any,
    ) -> Response:
        async def count_request(request: Request) -> Response:
            self.peer_request_count += 1
            return await peer(request)

        server = HttpServer(count_request, CallerLimits(), EventLog())
        address = await server.start(Address())
        member = Member("s", "salt-a", address.host, address.port, 0, 1)
        config = EntryConfig(1, self.objects, {}, {"s": member})
        regional = RegionalDispatcher(
            "amman-a",
            self,  # type: ignore[arg-type]
            SimpleNamespace(current=config),  # type: ignore[arg-type]
            self,  # type: ignore[arg-type]
            "secret",
            None,
            random.Random(1),
            EventLog(),
        )
        outbound = Outbound(
            service=self.objects.services["catalogue"],
            share=None,
            method="GET",
            target="/catalogue/1",
            headers=(),
            body=b"",
            idempotent=True,
            deadline_s=time.monotonic() + 0.6,
        )
        outbound = dataclasses.replace(outbound, **changes)
        try:
            return await regional.forward(outbound)
        finally:
            await server.stop(0.0)

    async def test_run_states_across_the_hop(self) -> None:
        cases = (
            (_stall, Code.HOP_TIMEOUT, RunState.UNKNOWN),
            (_truncate_body, Code.HOP_BROKEN, RunState.UNKNOWN),
            (_reject_timeout, Code.ANSWER_TIMEOUT, RunState.UNKNOWN),
            (_respond_without_code, Code.HOP_BROKEN, RunState.UNKNOWN),
            (_reject_no_capacity, Code.NO_CAPACITY, RunState.NOT_RUN),
        )
        for peer, code, state in cases:
            with self.subTest(peer.__name__):
                with self.assertRaises(RequestRejected) as caught:
                    await self.spill(peer)
                exc = caught.exception
                self.assertEqual((exc.code, exc.run_state), (code, state))
                if state is RunState.NOT_RUN:
                    assert exc.retry_after_s is not None
                    self.assertGreaterEqual(exc.retry_after_s, 1.0)
        response = await self.spill(_respond)
        self.assertEqual(response.body, b"good")

    async def test_answer_past_the_links_budget_is_known_to_have_run(
        self,
    ) -> None:
        async def reject(*_args: object) -> None:
            raise RequestRejected(Code.LINK_BUDGET)

        links = SimpleNamespace(acquire_bytes=reject)
        receiver = HopReceiver(
            "salt-a",
            SimpleNamespace(),  # type: ignore[arg-type]
            SimpleNamespace(),
            SimpleNamespace(),  # type: ignore[arg-type]
            links,  # type: ignore[arg-type]
            "secret",
            EventLog(),
        )
        outbound = SimpleNamespace(
            service=self.objects.services["catalogue"], deadline_s=1.0
        )
        response = Response(200, (LENGTH, *FORWARDED), b"good")
        with self.assertRaises(RequestRejected) as caught:
            await receiver._pace_response(
                "amman",
                outbound,  # type: ignore[arg-type]
                response,
            )
        self.assertEqual(caught.exception.code, Code.LINK_BUDGET)
        self.assertEqual(caught.exception.run_state, RunState.RAN)

    async def test_only_what_surely_did_not_run_goes_on(self) -> None:
        async def stream() -> AsyncIterator[bytes]:
            yield b"a"
            yield b"b"

        service = self.objects.services["catalogue"]
        no_spill_over = dataclasses.replace(service, spill_over=False)
        unknown_at_home = RequestRejected(Code.ANSWER_BROKEN)
        cases: tuple[
            tuple[str, RequestRejected, bool, dict[str, Any]], ...
        ] = (
            (
                "no spill-over",
                self.home_rejection,
                False,
                {"service": no_spill_over},
            ),
            ("unknown at home", unknown_at_home, False, {}),
            ("body started", self.home_rejection, True, {"body": stream()}),
        )
        for name, home_rejection, reads_body, changes in cases:
            with self.subTest(name):
                self.home_rejection = home_rejection
                self.reads_body = reads_body
                with self.assertRaises(RequestRejected):
                    await self.spill(_respond, **changes)
                self.assertEqual(self.peer_request_count, 0)
