"""One odd entry among the announcements costs only itself."""

import asyncio
from collections import Counter
import json
import random
from typing import Any, cast, Final
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from tests.control_links import make_follower, QuietLink
from tests.test_attempts import make_request
from tests.test_deployment import make_announcement, make_deployment
from tests.test_platform_codec import ANNOUNCEMENT
from tests.test_platform_path import PathFleet, wait_until
from wigeonford.control import (
    AnnounceTargets,
    ColdClock,
    COMMANDS,
    ControlDaemon,
    RaftReplica,
    RemoveTargets,
    ReplaceDeployment,
    Replica,
    State,
    ViewService,
)
from wigeonford.deployment import (
    Announcement,
    check_announcement,
    DeploymentPatch,
)
from wigeonford.events import EventLog
from wigeonford.http import fetch
from wigeonford.messages.steering import ViewUpdate
from wigeonford.platform._announcements import (
    AnnouncementInvalid,
    decode_announcement,
)
from wigeonford.platform._front import PlatformTargetWire
from wigeonford.settings import parse_address
from wigeonford.steer import (
    TargetConnections,
    TargetRecords,
    View,
    ViewBuilder,
)
from wigeonford.steer._attempt import Attempt, Outcome
from wigeonford.steer._target_records import TargetRecord

HUGE: Final = 10**400
ZONES: Final = {"south-a": "south"}

ODD_FIELDS: Final[tuple[dict[str, Any], ...]] = (
    {"address": "127.0.0.2:0"},
    {"address": "127.0.0.2:65536"},
    {"address": "127.0.0.2:99999"},
    {"address": "127.0.0.2:-1"},
    {"address": "127.0.0.2:8_0"},
    {"address": "127.0.0.2:080"},
    {"address": "127.0.0.2: 80"},
    {"address": "127.0.0.2:80\n"},
    {"address": "127.0.0.2:\u0668\u0660"},
    {"address": "\u0661\u0662\u0667.0.0.2:80"},
    {"address": "999.0.0.1:80"},
    {"address": "0.0.0.0:80"},
    {"address": "224.0.0.1:80"},
    {"address": "255.255.255.255:80"},
    {"address": "127.0.0.02:80"},
    {"address": "a" * 300 + ".example:80"},
    {"address": "\ud800:80"},
    {"address": ""},
    {"address": "80"},
    {"slots": HUGE},
    {"slots": 1 << 62},
    {"slots": 0},
    {"slots": -HUGE},
    {"born_ms": HUGE},
    {"born_ms": 1 << 63},
    {"born_ms": -1},
    {"sequence": HUGE},
    {"sequence": 1 << 64},
    {"sequence": -HUGE},
    {"cold_s": float("inf")},
    {"cold_s": float("nan")},
    {"cold_s": 1e308},
    {"cold_s": -1.0},
    {"software": "v" * 1_000_000},
    {"software": "v\n"},
    {"service": "s" * 1000},
    {"service": ""},
    {"availability_zone": "z" * 1000},
    {"target_id": ""},
    {"target_id": "i" * 1000},
    {"target_id": "i\r\nx: y"},
    {"target_id": "\u0661"},
)
"""Each set makes an announcement unusable."""


def make_odd(number: int, fields: dict[str, Any]) -> Announcement:
    """Return the announcement of another target, with odd fields."""
    odd = make_announcement(
        target_id=f"odd-{number}", address=f"10.0.1.{number % 250 + 1}:80"
    )
    return replace(odd, **fields)


class DecoderTest(unittest.TestCase):
    """The interface refuses an announcement that can't be used."""

    def refuse(
        self, content: bytes, target_id: str = "i-1", zone: str = "amman-a"
    ) -> None:
        with self.assertRaises(AnnouncementInvalid) as caught:
            decode_announcement(target_id, content, {zone})
        self.assertTrue(str(caught.exception))

    def test_odd_fields_are_refused(self) -> None:
        names = {
            "born_ms": "born",
            "software": "version",
            "availability_zone": "zone",
            "cold_s": "cold_remaining_s",
        }
        for fields in ODD_FIELDS:
            document = json.loads(json.dumps(ANNOUNCEMENT))
            target_id = fields.get("target_id", "i-1")
            zone = fields.get("availability_zone", "amman-a")
            for name, value in fields.items():
                for part in (
                    document,
                    document["information"],
                    document["status"],
                ):
                    if names.get(name, name) in part:
                        part[names.get(name, name)] = value
            with self.subTest(fields):
                content = json.dumps(document).encode()
                self.refuse(content, target_id, zone)

    def test_nested_and_large_content_is_refused(self) -> None:
        content = json.dumps(ANNOUNCEMENT)
        for depth in (10, 900, 100_000):
            nested = "[" * depth + "]" * depth
            self.refuse(content.replace("9}", f"{nested}}}").encode())
        for depth in (10_000, 1_000_000):
            nested = "[" * depth + "]" * depth
            self.refuse(f'{{"x": {nested}, {content[1:]}'.encode())
        self.refuse(
            content.replace('"slots": 9', f'"slots": {"9" * 5000}').encode()
        )
        self.refuse(b"\xff\xfe")

    def test_endpoint_needs_a_plain_port_in_range(self) -> None:
        for text in (
            "127.0.0.2:65536",
            "127.0.0.2:\u0668\u0660",
            "127.0.0.2:8_0",
            "127.0.0.2:",
            ":80",
            "x",
            "127.0.0.2:" + "9" * 5000,
            "\ud800:80",
        ):
            with self.subTest(text[:20]), self.assertRaises(ValueError):
                parse_address(text)


def entry_of(*announced: Announcement) -> bytes:
    """Return the log entry that records announcements."""
    return COMMANDS.encode(AnnounceTargets(announced))


class StandInReplica:
    """Stand in for a replica with a state of its own."""

    leader: str | None = None
    term = 0

    def __init__(self, state: State) -> None:
        self.state = state


def make_service(state: State) -> ViewService:
    """Return the service that sends a state to entry VMs."""
    return ViewService(
        cast(Replica, StandInReplica(state)),
        ColdClock(),
        lambda: (),
        EventLog(),
    )


class Reader:
    """Follow a state as an entry VM does."""

    def __init__(self) -> None:
        self.builder = ViewBuilder()
        self.records = TargetRecords()

    def follow(self, state: State) -> None:
        """Apply what changed since the last call."""
        update = make_service(state).changes_since(self.builder.revision)
        # A link carries the update as CBOR.
        assert self.builder.apply(update) == (update.revision > update.since)
        view = self.builder.build()
        if view is not None:
            self.records.apply_changes(view.changed, view.removed, ZONES, 0.0)

    @property
    def target_ids(self) -> set[str]:
        """Return the ids of the targets that requests may be sent to."""
        return {record.target_id for record in self.records}


def make_state() -> State:
    """Return a state with a deployment and a good target."""
    state = State()
    state.apply(ReplaceDeployment(b"1", 0, make_deployment()))
    state.apply_entry(entry_of(make_announcement()))
    return state


class LogTest(unittest.TestCase):
    """A log that holds odd entries, as earlier builds wrote, is followed."""

    def test_odd_targets_are_left_out(self) -> None:
        state, reader = make_state(), Reader()
        for number, fields in enumerate(ODD_FIELDS):
            odd = make_odd(number, fields)
            if "\ud800" in odd.address:
                continue  # CBOR can't hold it.
            with self.subTest(fields):
                state.apply_entry(entry_of(odd))
                reader.follow(state)
                self.assertEqual({"t-1"}, reader.target_ids)
                restored = State.restore(state.snapshot())
                fresh = Reader()
                fresh.follow(restored)
                self.assertEqual({"t-1"}, fresh.target_ids)
                self.assertEqual(
                    state.steering.revision, restored.steering.revision
                )
        state.apply_entry(
            entry_of(
                make_announcement(target_id="t-2", address="127.0.0.2:80")
            )
        )
        reader.follow(state)
        self.assertEqual({"t-1", "t-2"}, reader.target_ids)

    def test_odd_target_expires(self) -> None:
        state, reader = make_state(), Reader()
        odd = make_odd(1, {"born_ms": HUGE, "sequence": HUGE})
        state.apply_entry(entry_of(odd))
        removal = COMMANDS.encode(RemoveTargets(((odd.target_id, HUGE),)))
        self.assertFalse(state.apply_entry(removal).is_skipped)
        self.assertEqual(1, len(state.steering.targets))
        self.assertEqual([], list(state.steering.targets.unusable()))
        reader.follow(State.restore(state.snapshot()))
        self.assertEqual({"t-1"}, reader.target_ids)

    def test_target_that_became_odd_is_removed(self) -> None:
        state, reader = make_state(), Reader()
        second = make_announcement(target_id="t-2", address="127.0.0.2:80")
        state.apply_entry(entry_of(second))
        reader.follow(state)
        state.apply_entry(entry_of(replace(second, sequence=6, slots=HUGE)))
        reader.follow(state)
        self.assertEqual({"t-1"}, reader.target_ids)
        state.apply_entry(entry_of(replace(second, sequence=7)))
        reader.follow(state)
        self.assertEqual({"t-1", "t-2"}, reader.target_ids)
        state.apply(RemoveTargets((("t-2", None),)))
        reader.follow(state)
        self.assertEqual({"t-1"}, reader.target_ids)


ENCODABLE_TEXT: Final = st.text(st.characters(codec="utf-8"))


@st.composite
def announcements(draw: st.DrawFn) -> Announcement:
    """Return a good or odd announcement of one of a few targets."""
    number = draw(st.integers(0, 5))
    announced = make_announcement(
        target_id=f"x-{number}",
        address=f"10.0.2.{draw(st.integers(1, 8))}:80",
        born_ms=draw(st.integers(1, 4)),
        sequence=draw(st.integers(1, 9)),
        is_draining=draw(st.booleans()),
        cold_s=draw(st.floats(0, 30)),
    )
    if draw(st.booleans()):
        return announced
    odd = draw(
        st.one_of(
            st.sampled_from(
                [
                    fields
                    for fields in ODD_FIELDS
                    if fields.get("address") != "\ud800:80"
                    and fields.get("software") is None
                ]
            ),
            st.fixed_dictionaries(
                {},
                optional={
                    "address": ENCODABLE_TEXT,
                    "slots": st.integers(),
                    "born_ms": st.integers(),
                    "sequence": st.integers(),
                    "cold_s": st.floats(),
                    "software": ENCODABLE_TEXT,
                },
            ),
        )
    )
    return replace(announced, **odd)


def is_usable(announced: Announcement) -> bool:
    """Return whether an announcement has no fault."""
    return not list(check_announcement(announced))


class FollowTest(unittest.TestCase):
    """Whatever is announced, good targets serve and readers follow."""

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.lists(
            st.tuples(announcements(), st.booleans(), st.booleans()),
            max_size=20,
        )
    )
    def test_readers_follow_beside_odd_entries(
        self, steps: list[tuple[Announcement, bool, bool]]
    ) -> None:
        state, restarted = make_state(), make_state()
        reader = Reader()
        for announced, follows, restarts in steps:
            content = entry_of(announced)
            state.apply_entry(content)
            restarted.apply_entry(content)
            if restarts:
                restarted = State.restore(restarted.snapshot())
            if follows:
                reader.follow(restarted if restarts else state)
        reader.follow(state)
        self.assertEqual(state.snapshot(), restarted.snapshot())
        usable = {
            target.announced.target_id
            for target in state.steering.targets
            if is_usable(target.announced)
        }
        self.assertIn("t-1", usable)
        self.assertEqual(usable, reader.target_ids)
        for record in reader.records:
            self.assertTrue(is_usable(record.announced))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(announcements(), max_size=12))
    def test_view_of_a_peer_is_followed_beside_odd_entries(
        self, announced: list[Announcement]
    ) -> None:
        good = make_announcement()
        reader = Reader()
        reader.builder.apply(
            ViewUpdate(
                0,
                1,
                make_deployment(),
                (),
                {},
                (*announced, good),
                (),
            )
        )
        view = reader.builder.build()
        assert view is not None
        reader.records.apply_changes(view.changed, view.removed, ZONES, 0.0)
        last = {item.target_id: item for item in (*announced, good)}
        self.assertEqual(
            {name for name, item in last.items() if is_usable(item)},
            reader.target_ids,
        )


class EntryVmTest(unittest.IsolatedAsyncioTestCase):
    """An entry VM that meets an odd entry goes on."""

    async def test_target_with_an_odd_address_is_not_reached(self) -> None:
        connections = TargetConnections(PlatformTargetWire())
        for fields in ODD_FIELDS:
            if "address" not in fields:
                continue
            record = TargetRecord(make_announcement(**fields), "south", 0.0)
            attempt = Attempt(make_request(), record, None, b"", 1e9)
            with self.subTest(fields):
                if parses(record.announced.address):
                    continue
                result = await connections.send(attempt)
                self.assertIs(Outcome.NOT_SENT, result.outcome)
                connections.close_idle_to(record.announced.address)
        connections.close()

    def test_patch_before_any_deployment_is_not_applicable(self) -> None:
        builder = ViewBuilder()
        patch = DeploymentPatch(2, (), (), (), (), None, (), (), (), ())
        update = ViewUpdate(0, 1, None, None, None, (), (), patch)
        self.assertFalse(builder.apply(update))

    async def test_view_reaches_all_listeners_though_one_fails(self) -> None:
        follower = make_follower(lambda _: QuietLink())
        views: list[View] = []

        def fail(_view: View) -> None:
            raise OverflowError("int too large to convert to float")

        follower.add_view_listener(fail)
        follower.add_view_listener(views.append)
        follower._first_view_until_s = 0.0
        follower._apply_update(
            "127.0.0.1:1",
            ViewUpdate(0, 1, make_deployment(), (), {}, (), ()),
        )
        self.assertEqual(1, len(views))


def parses(address: str) -> bool:
    """Return whether a text has the form of an endpoint."""
    try:
        parse_address(address)
    except ValueError:
        return False
    return True


PATH_ODD: Final[tuple[dict[str, Any], ...]] = (
    {"address": "127.0.0.1:99999"},
    {"address": "127.0.0.1:65536"},
    {"address": "127.0.0.1:0"},
    {"address": "999.0.0.1:80"},
    {"address": "127.0.0.1:80\n"},
    {"slots": HUGE},
    {"born_ms": HUGE},
    {"sequence": HUGE},
)


class OddPathTest(PathFleet):
    """Callers are served by the good target, at every entry VM."""

    async def check_served(self, label: str) -> None:
        for number in range(4):
            for index in range(2):
                response = await self.call(f"{label}{number}{index}", index)
                self.assertEqual(200, response.status)

    async def test_odd_announcement_is_refused(self) -> None:
        await self.publish()
        for index, fields in enumerate(PATH_ODD):
            document = json.loads(json.dumps(ANNOUNCEMENT))
            document["address"] = fields.get("address", "127.0.0.1:9")
            document["born"] = fields.get("born_ms", document["born"])
            document["information"]["slots"] = fields.get("slots", 9)
            document["status"]["sequence"] = fields.get("sequence", 4)
            response = await fetch(
                self.api_addresses[index % 5],
                "PUT",
                f"/instances/odd-{index}",
                (),
                json.dumps(document).encode(),
            )
            self.assertEqual(400, response.status, fields)
        await self.check_served("a")

    async def test_odd_entries_in_the_log_cost_no_caller(self) -> None:
        await self.publish()
        for number, fields in enumerate(PATH_ODD):
            odd = make_announcement(
                target_id=f"odd-{number}",
                service="huvo11a",
                availability_zone="amman-a",
                address=f"127.0.0.1:{number + 1}",
            )
            await replica_of(self.controls[number % 5]).propose(
                AnnounceTargets((replace(odd, **fields),))
            )
        leader = next(
            replica
            for replica in map(replica_of, self.controls)
            if replica.is_leader
        )
        assert isinstance(leader, RaftReplica)
        for content in (b"\x81" * 1000, b"\xff", b""):
            self.assertTrue((await leader._propose(content)).is_skipped)
        await self.check_served("b")
        await asyncio.gather(*(node.crash() for node in self.controls))
        self.controls = [
            self.make_control(self.folder, index) for index in range(5)
        ]
        await asyncio.gather(*(node.start() for node in self.controls))
        await self.check_served("c")
        await self.announce("draining", 5)

        async def is_drained() -> bool:
            return (await self.call("d", 0)).status == 503

        await wait_until(is_drained)

    async def test_random_announcements_cost_no_caller(self) -> None:
        await self.check_random(400, random.Random(37))

    async def check_random(
        self, count: int, rng: random.Random
    ) -> Counter[int]:
        """Send random announcements, and call meanwhile and afterwards.

        Return how often each status was answered.
        """
        await self.publish()
        statuses: Counter[int] = Counter()
        calls = 0
        for number in range(count):
            target_id, content = make_random(rng)
            response = await fetch(
                self.api_addresses[number % 5],
                rng.choice(("PUT", "PUT", "PUT", "PUT", "DELETE")),
                f"/instances/{target_id}",
                (),
                content,
            )
            statuses[response.status] += 1
            if number % 8 == 0:
                calls += 1
                called = await self.call(f"f{number}", calls % 2)
                self.assertEqual(200, called.status, (target_id, content))
        self.assertNotIn(500, statuses)
        self.assertGreater(statuses[200], 0)
        self.assertGreater(statuses[400], 0)
        await self.check_served("g")
        return statuses


ODD_TEXTS: Final = (
    "[" * 900 + "]" * 900,
    "9" * 5000,
    "1e999",
    "null",
    "true",
    "NaN",
    '"\\ud800"',
    '"\\u0000"',
    "{}",
    "",
    json.dumps("x" * 3000),
)
"""Values in JSON that fit no field."""
ODD_NUMBERS: Final = (
    "9" * 400,
    str(1 << 63),
    str(1 << 53),
    "1e308",
    "1e-300",
    "-1",
    "0",
    "1.5",
    '"1"',
)
ODD_IDS: Final = ("", "i%00", "%FF", "a/b", "i" * 900, "odd?x=1")


def make_random(rng: random.Random) -> tuple[str, bytes]:
    """Return an id and an announcement that is odd at random places.

    Nothing listens at its address. If it is valid all the same, it names a
    service that no caller of the test needs.
    """
    document = json.loads(json.dumps(ANNOUNCEMENT))
    document["address"] = f"127.0.0.1:{rng.randint(1, 9)}"
    document["born"] = rng.randint(1, 1 << 40)
    places: list[tuple[dict[str, Any], str]] = [
        (part, name)
        for part in (document, document["information"], document["status"])
        for name in part
    ]
    marks: dict[str, str] = {}
    for part, name in rng.sample(places, rng.choice((0, 1, 1, 2))):
        odd = rng.choice(ODD_TEXTS)
        if name == "address" and rng.random() < 0.9:
            address = rng.choice(ODD_FIELDS).get("address", "127.0.0.1:99999")
            odd = json.dumps(address)
        elif type(part[name]) is int and rng.random() < 0.9:
            odd = rng.choice(ODD_NUMBERS)
        mark = f"@{len(marks)}@"
        marks[f'"{mark}"'] = odd
        part[name] = mark
    text = json.dumps(document)
    for mark, odd in marks.items():
        text = text.replace(mark, odd)
    content = bytearray(text.encode())
    if rng.random() < 0.1:
        content[rng.randrange(len(content))] = rng.randrange(256)
    target_id = f"odd-{rng.randint(0, 99)}"
    if rng.random() < 0.1:
        target_id = rng.choice(ODD_IDS)
    try:
        decode_announcement(target_id, bytes(content), {"amman-a"})
    except AnnouncementInvalid:
        return target_id, bytes(content)
    return target_id, bytes(content.replace(b"huvo11a", b"kafi81c"))


def replica_of(daemon: ControlDaemon) -> Replica:
    """Return the replica of a daemon."""
    return daemon._replica
