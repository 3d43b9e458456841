"""One odd address among seeds, replicas or entry VMs costs only itself."""

import asyncio
from pathlib import Path
import tempfile
from typing import Any, cast, Final
import unittest

from msgspec.structs import replace

from tests.control_links import make_follower, QuietLink, REPLICAS
from tests.test_deployment import make_deployment
from tests.virtual_time import run_virtual
from wigeonford.codec import CodecError
from wigeonford.entry._registry import TargetRegistry
from wigeonford.errors import (
    Code,
    PeerError,
    RequestRejected,
    SettingsError,
)
from wigeonford.events import EventLog
from wigeonford.messages.object import TargetAnnounce
from wigeonford.messages.steering import (
    EntryStatus,
    FetchView,
    QuotaLeaseReport,
    ReportStatus,
    RosterChange,
    ViewNotice,
    ViewUpdate,
    WatchView,
)
from wigeonford.peer import NotLeaderError, PeerClient
from wigeonford.peer._frames import decode_frame, encode_frame
from wigeonford.platform._settings import read_settings
from wigeonford.platform._settings_file import SettingsFile
from wigeonford.settings import Address
from wigeonford.steer import AccountRates, QuotaReporter

SETTINGS: Final = """
node = "n"
ip_address = "10.0.0.1"
zone = "south-a"
region = "south"
internal_port_range = [9000, 9100]
seeds = ["10.0.0.2:80", "10.0.0.3:80"]
"""
ODD_ADDRESSES: Final = (
    "",
    "x",
    "10.0.0.9",
    "10.0.0.9:",
    "10.0.0.9:99999",
    "10.0.0.9:\u0668\u0660",
    "10.0.0.9:80\n",
    "10.0.0.9:" + "9" * 5000,
)


class SettingsTest(unittest.TestCase):
    """A seed that can't be used leaves the others in force."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.toml"
        self.path.write_text(SETTINGS)

    def test_odd_seeds_are_left_out(self) -> None:
        settings_file = SettingsFile(self.path, EventLog())
        for odd in ODD_ADDRESSES:
            stated = odd.replace("\n", "\\n")
            text = SETTINGS.replace('"10.0.0.3:80"', f'"{stated}"')
            self.path.write_text(text)
            settings_file.reload()
            with self.subTest(odd[:20]):
                self.assertEqual(("10.0.0.2:9000",), settings_file.seeds())
                self.assertEqual((odd,), settings_file.current.unusable_seeds)

    def test_odd_new_version_leaves_the_present_one(self) -> None:
        settings_file = SettingsFile(self.path, EventLog())
        nested = "[" * 5000 + "]" * 5000
        for content in (
            b"\xff",
            SETTINGS.replace('["10.0.0.2:80", "10.0.0.3:80"]', '["x"]'),
            SETTINGS.replace("9000", "99999"),
            SETTINGS.replace("9000", "9" * 400),
            SETTINGS.replace("9000", "9" * 5000),
            SETTINGS + f"x = {nested}",
            SETTINGS + "[bounds]\ngrace_s = nan\n",
            SETTINGS + "[bounds]\ngrace_s = 1e999\n",
        ):
            data = content.encode() if isinstance(content, str) else content
            self.path.write_bytes(data)
            with self.subTest(content[-40:]):
                settings_file.reload()
                self.assertEqual(2, len(settings_file.seeds()))
                with self.assertRaises(SettingsError):
                    read_settings(self.path)


class OddReplica(QuietLink):
    """Name replicas and entry VMs, some of them with odd addresses."""

    def __init__(self, revision: int) -> None:
        self.revision = revision
        self.report_count = 0

    async def request(self, record: Any, _timeout_s: float) -> Any:
        """Reply to an entry VM."""
        await asyncio.sleep(0.1)
        if isinstance(record, FetchView):
            return ViewUpdate(0, 1, make_deployment(), (), {}, (), ())
        if isinstance(record, QuotaLeaseReport):
            self.report_count += 1
            raise NotLeaderError(ODD_ADDRESSES[self.report_count % 8])
        if isinstance(record, ReportStatus):
            raise PeerError(Code.PEER_UNREACHABLE, "test")
        assert isinstance(record, WatchView)
        statuses = tuple(
            EntryStatus(f"e{number}", "i", address, "z", "r", True)
            for number, address in enumerate((*ODD_ADDRESSES, "10.0.0.5:80"))
        )
        return ViewNotice(
            self.revision,
            RosterChange(1, 1, True, statuses, ()),
            (*REPLICAS, *ODD_ADDRESSES),
            location=("r", "z"),
            leader="10.0.0.9:99999",
            term=3,
        )


class FollowerTest(unittest.TestCase):
    """An entry VM follows the replicas whose addresses can be used."""

    def test_odd_addresses_are_left_out(self) -> None:
        async def follow() -> None:
            follower = make_follower(lambda _: OddReplica(1))
            await follower.start()
            await asyncio.sleep(10.0)
            self.assertEqual(frozenset(REPLICAS), follower.connected_replicas)
            self.assertIsNone(follower.leader)
            self.assertIsNotNone(follower.view)
            self.assertEqual(
                ["10.0.0.5:80"],
                [
                    status.address
                    for status in follower.roster.entries(0.0).values()
                ],
            )
            await follower.report_status()
            await follower.stop()

        run_virtual(follow())

    def test_reports_go_on_after_an_odd_leader_was_named(self) -> None:
        async def report() -> None:
            replica = OddReplica(1)
            follower = make_follower(lambda _: replica)
            reporter = QuotaReporter(
                follower,
                AccountRates("a"),
                lambda: EntryStatus("a", "i", "a:1", "z", "r", True),
                lambda _: cast(PeerClient, replica),
                EventLog(),
            )
            await follower.start()
            await reporter.start()
            await asyncio.sleep(20.0)
            count = replica.report_count
            await asyncio.sleep(20.0)
            self.assertGreater(replica.report_count, count)
            await reporter.stop()
            await follower.stop()

        run_virtual(report())

    def test_watches_are_managed_on_after_an_error(self) -> None:
        async def follow() -> None:
            seeds: list[Any] = [REPLICAS[:1]]

            def read_seeds() -> tuple[str, ...]:
                if isinstance(seeds[0], Exception):
                    raise seeds[0]
                return cast(tuple[str, ...], seeds[0])

            follower = make_follower(lambda _: PlainReplica(1))
            follower._seeds = read_seeds
            await follower.start()
            await asyncio.sleep(5.0)
            seeds[0] = ValueError("odd")
            await asyncio.sleep(5.0)
            seeds[0] = REPLICAS
            await asyncio.sleep(5.0)
            self.assertEqual(frozenset(REPLICAS), follower.connected_replicas)
            await follower.stop()

        run_virtual(follow())


class PlainReplica(OddReplica):
    """Name no other replicas."""

    async def request(self, record: Any, timeout_s: float) -> Any:
        """Reply to an entry VM."""
        reply = await super().request(record, timeout_s)
        if isinstance(reply, ViewNotice):
            return replace(reply, control=None)
        return reply


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """A peer that can't be reached is reported as such."""

    async def test_impossible_endpoint_is_unreachable(self) -> None:
        for address in (
            Address("127.0.0.1", 99999),
            Address("127.0.0.1", -1),
            Address("a b", 80),
            Address("a" * 300, 80),
            Address("", 80),
        ):
            client = PeerClient("n", address, "s" * 16, EventLog())
            with (
                self.subTest(address),
                self.assertRaises(PeerError) as caught,
            ):
                await client.request(FetchView(0), 5.0)
            self.assertIs(Code.PEER_UNREACHABLE, caught.exception.code)
            await client.close()

    def test_frame_needs_a_number_as_its_request_id(self) -> None:
        odd_ids: tuple[Any, ...] = ([], {}, "1", None, 1.0)
        for odd in odd_ids:
            with self.subTest(odd), self.assertRaises(CodecError):
                decode_frame(encode_frame(odd, [1, {}]))


class RegistryTest(unittest.TestCase):
    """The owner of a target refuses an announcement that can't be used."""

    def test_odd_announcements_are_refused(self) -> None:
        good = TargetAnnounce(
            "catalogue", "10.0.0.1", 80, "new", 4, 1, 3.0, 0.0, False
        )
        registry = TargetRegistry()
        registry.announce(good, 0.0)
        odd_fields: tuple[dict[str, Any], ...] = (
            {"port": 0},
            {"port": 99999},
            {"port": 10**400},
            {"host": "999.0.0.1"},
            {"host": "\u0661.0.0.1"},
            {"host": "10.0.0.1\n"},
            {"host": ""},
            {"host": "target one"},
            {"host": "target\t"},
            {"host": "target\x00"},
            {"host": "t" * 254},
            {"host": "[::1]"},
            {"host": "::g"},
            {"host": "fe80::1%a b"},
            {"slots": 0},
            {"slots": 10**400},
            {"sequence": 1 << 64},
            {"side": "odd"},
            {"service": "s" * 1000},
            {"lease_s": float("inf")},
            {"lease_s": float("nan")},
            {"load": float("nan")},
        )
        for fields in odd_fields:
            with (
                self.subTest(fields),
                self.assertRaises(RequestRejected) as caught,
            ):
                registry.announce(
                    replace(good, **{"sequence": 2, **fields}), 0.0
                )
            self.assertIs(Code.BAD_ARGUMENT, caught.exception.code)
        self.assertEqual(1, len(registry.all()))

    def test_targets_by_name_or_ipv6_address_are_not_refused(self) -> None:
        registry = TargetRegistry()
        for host in (
            "localhost",
            "entry-1.zone",
            "t.example.",
            "::1",
            "2001:db8::ffff:10.0.0.1",
            "fe80::1%eth0",
            "10.0.0.1",
        ):
            with self.subTest(host):
                target = registry.announce(
                    TargetAnnounce(
                        "catalogue", host, 80, "new", 4, 1, 3.0, 0.0, False
                    ),
                    0.0,
                )
                self.assertEqual(f"{host}:80", target.target_id)
