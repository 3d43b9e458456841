"""Requests that one entry VM has another one send to targets."""

import random
import unittest

from msgspec.structs import replace

from wigeonford.errors import Code, RequestRejected, RunState
from wigeonford.events import EventLog
from wigeonford.http import Request, Response
from wigeonford.messages.steering import EntryStatus, Reach
from wigeonford.platform._front import PlatformTargetWire
from wigeonford.steer import RelayReceiver, select_entries, SteerRequest
from wigeonford.steer._entries import rank_relays
from wigeonford.steer._relay_wire import (
    attach_order,
    ORDER_HEADER,
    probe_headers,
    RelayOrder,
    RelayWire,
    RESULT_HEADER,
    TargetProbe,
)
from wigeonford.steer._request import RelayResult, TargetRunState

SECRET = "peers"
ORDER = RelayOrder("vm-a", "route", "service", "farm", 1)


def make_entry(
    name: str, zone: str = "south-a", **changes: object
) -> EntryStatus:
    """Return the status of a ready entry VM that relays requests."""
    region = zone.partition("-")[0]
    status = EntryStatus(name, "i", f"{name}:1", zone, region, True, "a:2")
    return replace(status, **changes)


class ChoiceTest(unittest.TestCase):
    """Callers and peers go to VMs that reach targets, near ones first."""

    def rank(
        self, *entries: EntryStatus, regions: set[str] | None = None
    ) -> list[str]:
        """Return the names of the VMs that `own` may ask, in order."""
        ranked = rank_relays(
            entries,
            make_entry("own"),
            regions,
            (),
            lambda _: 0,
            random.Random(1),
        )
        return [entry.name for entry in ranked]

    def test_other_zones_come_first_and_other_regions_last(self) -> None:
        names = self.rank(
            make_entry("far", "north-a"),
            make_entry("same"),
            make_entry("near", "south-b"),
            make_entry("own"),
        )
        self.assertEqual(["near", "same", "far"], names)

    def test_vms_that_cannot_send_are_left_out(self) -> None:
        names = self.rank(
            make_entry("cut", reach=Reach.CUT),
            make_entry("lost", reach=Reach.LOST),
            make_entry("stopping", is_ready=False),
            make_entry("older", relay_address=""),
        )
        self.assertEqual([], names)

    def test_a_request_with_homes_stays_in_them(self) -> None:
        entries = (make_entry("far", "north-a"), make_entry("near", "south-b"))
        self.assertEqual(["far"], self.rank(*entries, regions={"north"}))

    # Callers of VMs without links to targets were refused (RECOVER).
    def test_look_ups_leave_out_vms_whose_links_are_cut(self) -> None:
        cut = make_entry("cut", reach=Reach.CUT)
        far = make_entry("far", "north-a")
        self.assertEqual([far], select_entries([cut, far], "south", "south-a"))

    def test_look_ups_name_all_when_targets_are_lost_to_all(self) -> None:
        for reach in (Reach.LOST, Reach.CUT):
            lost = [
                make_entry(f"vm-{number}", reach=reach) for number in range(3)
            ]
            self.assertEqual(lost, select_entries(lost, "south", "south-a"))


class WireTest(unittest.IsolatedAsyncioTestCase):
    """Only peers have requests sent, and targets can't forge results."""

    async def asyncSetUp(self) -> None:
        self.orders: list[tuple[SteerRequest, RelayOrder]] = []
        self.response = Response(200, ((b"content-length", b"2"),), b"ok")
        self.error: RequestRejected | None = None
        self.receiver = RelayReceiver(
            self.forward, self.probe, PlatformTargetWire(), SECRET, EventLog()
        )

    async def forward(
        self, req: SteerRequest, order: RelayOrder
    ) -> tuple[Response, RelayResult]:
        """Note a request, and respond."""
        self.orders.append((req, order))
        if self.error is not None:
            raise self.error
        return self.response, RelayResult(sent=2, target_id="t-1")

    async def probe(self, target_id: str) -> bool:
        """Return whether a target is reached; "t-1" is."""
        return target_id == "t-1"

    async def test_probes_of_peers_are_answered(self) -> None:
        for target_id, secret, status in (
            ("t-1", SECRET, 204),
            ("t-2", SECRET, 404),
            ("t-1", "guessed", None),
        ):
            headers = probe_headers(TargetProbe("vm-a", target_id), secret)
            request = Request("GET", "/", "", headers, "c")
            if status is None:
                with self.assertRaises(RequestRejected):
                    await self.receiver.handle(request)
            else:
                response = await self.receiver.handle(request)
                self.assertEqual(status, response.status)

    def make_request(
        self, secret: str = SECRET, order: RelayOrder = ORDER
    ) -> Request:
        """Return a request as a peer sends it."""
        plain = Request(
            "GET", "/a/x", "", ((b"host", b"h"), (b"x-attempt-id", b"1")), "c"
        )
        wire = RelayWire(PlatformTargetWire())
        req = attach_order(wire.decode_request(plain), order, secret)
        headers = wire.build_headers(req, "vm-b", order.account, 1.5)
        return replace(plain, headers=headers)

    async def test_order_and_result_pass(self) -> None:
        response = await self.receiver.handle(self.make_request())
        req, order = self.orders[0]
        self.assertEqual(ORDER, order)
        self.assertEqual(1.5, req.time_left_s)
        self.assertNotIn(b"x-tenant", dict(req.headers))
        self.assertNotIn(ORDER_HEADER, dict(req.headers))
        facts = RelayWire(PlatformTargetWire()).parse_facts(response)
        self.assertIs(TargetRunState.RAN, facts.run)
        self.assertEqual(RelayResult(sent=2, target_id="t-1"), facts.relayed)

    async def test_names_of_any_script_pass(self) -> None:
        order = replace(ORDER, account="Müller 農場", service='a"b')
        await self.receiver.handle(self.make_request(order=order))
        self.assertEqual(order, self.orders[0][1])

    async def test_requests_of_strangers_are_refused(self) -> None:
        plain = Request("GET", "/a/x", "", ((b"host", b"h"),), "c")
        for request in (self.make_request("guessed"), plain):
            with self.assertRaises(RequestRejected) as raised:
                await self.receiver.handle(request)
            self.assertIs(Code.HOP_REFUSED, raised.exception.code)
        self.assertEqual([], self.orders)

    async def test_a_rejection_tells_whether_the_request_ran(self) -> None:
        for run_state in (RunState.NOT_RUN, RunState.UNKNOWN):
            self.error = RequestRejected(
                Code.ANSWER_BROKEN, "d", run_state=run_state, retry_after_s=2.0
            )
            response = await self.receiver.handle(self.make_request())
            facts = RelayWire(PlatformTargetWire()).parse_facts(response)
            assert facts.relayed is not None
            self.assertIs(run_state, facts.relayed.run_state)
            self.assertEqual(2.0, facts.relayed.retry_after_s)
            is_unrun = facts.run is TargetRunState.NOT_RUN
            self.assertEqual(run_state is RunState.NOT_RUN, is_unrun)

    async def test_a_target_cannot_state_a_result(self) -> None:
        forged = (RESULT_HEADER, b'{"code":1204,"run_state":"not-run"}')
        self.response = Response(200, (forged,), b"ok")
        response = await self.receiver.handle(self.make_request())
        facts = RelayWire(PlatformTargetWire()).parse_facts(response)
        self.assertEqual(RelayResult(sent=2, target_id="t-1"), facts.relayed)

    async def test_a_response_without_a_result_is_not_whole(self) -> None:
        for headers in ((), ((RESULT_HEADER, b"[]"),)):
            facts = RelayWire(PlatformTargetWire()).parse_facts(
                Response(200, headers, b"ok")
            )
            self.assertFalse(facts.is_complete)
