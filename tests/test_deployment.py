"""Deployments: validation, patches, routes, splits and targets."""

import unittest

from msgspec.structs import replace

from wigeonford.deployment import (
    Account,
    Announcement,
    AnnouncementEffect,
    apply_patch,
    check_deployment,
    Deployment,
    DeploymentPatch,
    KeyTable,
    RequestLimits,
    Route,
    RouteKind,
    RouteTable,
    Service,
    Share,
    Splitter,
    TargetTable,
)


def make_route(name: str, prefix: str, **changes: object) -> Route:
    """Return a valid route, with some fields replaced."""
    route = Route(
        name,
        "old.example",
        prefix,
        RouteKind.SAFE,
        2.5,
        0.6,
        2,
        2,
        False,
        True,
        service="ledger",
    )
    return replace(route, **changes)


def make_deployment(*routes: Route, version: int = 1) -> Deployment:
    """Return a deployment with two services and one account."""
    return Deployment(
        version,
        (
            Service("ledger", "/health", 300, "h1", False, 3.0, 7.0),
            Service("archive", "/health", 300, "h1", False, 3.0, 7.0),
        ),
        RequestLimits(16384, 1 << 26, 3.0, 15.0),
        (Account("farm", ("key-1",), 0, 10.0, 10.0),),
        ("old.example",),
        routes or (make_route("r", "/a/"),),
    )


class CheckTest(unittest.TestCase):
    """Validation of a full deployment finds each fault."""

    def test_valid_one_has_no_fault(self) -> None:
        self.assertEqual([], list(check_deployment(make_deployment())))

    def test_each_fault_is_found(self) -> None:
        zero = (Share("ledger", 0), Share("archive", 0))
        faulty = {
            "unknown service": (make_route("r", "/a/", service="no"),),
            "duplicate prefix": (
                make_route("r", "/a/"),
                make_route("s", "/a/"),
            ),
            "split without weight": (
                make_route("r", "/a/", service=None, split=zero),
            ),
            "timeout too long": (make_route("r", "/a/", timeout_s=601.0),),
            "objective too far above the timeout": (
                make_route("r", "/a/", objective_s=62.5),
            ),
            "duplicate name": (make_route("r", "/a/"), make_route("r", "/b/")),
        }
        for name, routes in faulty.items():
            with self.subTest(name):
                faults = list(check_deployment(make_deployment(*routes)))
                self.assertTrue(faults)

    def test_shared_key_is_found(self) -> None:
        base = make_deployment()
        other = replace(base.accounts[0], name="cafe")
        shared = replace(base, accounts=(*base.accounts, other))
        self.assertTrue(list(check_deployment(shared)))


class PatchTest(unittest.TestCase):
    """A patch changes only the items it names and keeps their order."""

    def test_items_are_replaced_added_and_removed(self) -> None:
        base = make_deployment(make_route("a", "/a/"), make_route("b", "/b/"))
        patch = DeploymentPatch(
            7,
            routes=(
                make_route("b", "/b2/"),
                make_route("c", "/c/", host="new.example"),
            ),
            hosts=("new.example",),
            removed_routes=("a",),
        )
        result = apply_patch(base, patch)
        self.assertEqual(7, result.version)
        self.assertEqual(["b", "c"], [route.name for route in result.routes])
        self.assertEqual(("old.example", "new.example"), result.hosts)
        self.assertEqual(base.services, result.services)


class RouteTableTest(unittest.TestCase):
    """Of the routes of a host, the longest matching prefix wins."""

    def test_longest_prefix_wins(self) -> None:
        table = RouteTable(
            make_deployment(
                make_route("short", "/a/"), make_route("long", "/a/b/")
            )
        )
        found = [
            table.find("old.example", path)
            for path in ("/a/x", "/a/b/x", "/a/b", "/a", "/z/")
        ]
        names = [route.name if route else None for route in found]
        self.assertEqual(["short", "long", "short", None, None], names)
        self.assertIsNone(table.find("new.example", "/a/x"))

    def test_key_finds_its_account(self) -> None:
        table = KeyTable(make_deployment())
        account = table.find("key-1")
        self.assertEqual("farm", account.name if account else None)
        self.assertIsNone(table.find("key-2"))
        self.assertIsNone(table.find(None))

    def test_split_is_close_at_every_prefix(self) -> None:
        split = (Share("ledger", 90), Share("archive", 10))
        route = make_route("r", "/a/", service=None, split=split)
        splitter = Splitter()
        archive_count = 0
        for total in range(1, 400):
            archive_count += splitter.choose(route) == "archive"
            self.assertLessEqual(abs(archive_count - 0.1 * total), 1.0)


def make_announcement(**changes: object) -> Announcement:
    """Return the announcement of a target, with some fields replaced."""
    announcement = Announcement(
        "t-1", 1000, 5, "ledger", "10.0.0.1:80", "south-a", "v1", 4, False, 0.0
    )
    return replace(announcement, **changes)


class TargetTableTest(unittest.TestCase):
    """Announcements are ordered by incarnation and sequence."""

    def setUp(self) -> None:
        self.table = TargetTable()
        self.table.put(1, make_announcement())

    def test_same_again_changes_nothing(self) -> None:
        effect = self.table.classify(make_announcement(sequence=6), 0.0)
        self.assertIs(AnnouncementEffect.SAME, effect)

    def test_late_one_is_stale(self) -> None:
        self.table.put(2, make_announcement(sequence=8, is_draining=True))
        for late in (
            make_announcement(sequence=7),
            make_announcement(sequence=9),
        ):
            self.assertIs(
                AnnouncementEffect.STALE, self.table.classify(late, 0.0)
            )

    def test_forged_identity_is_refused(self) -> None:
        for forged in (
            make_announcement(sequence=9, service="archive"),
            make_announcement(sequence=9, address="10.0.0.9:80"),
            make_announcement(sequence=9, availability_zone="north-a"),
        ):
            self.assertIs(
                AnnouncementEffect.CONFLICT, self.table.classify(forged, 0.0)
            )
            self.assertFalse(self.table.put(2, forged))

    def test_removed_one_stays_gone_until_reborn(self) -> None:
        self.table.remove(2, "t-1")
        self.assertFalse(self.table.put(3, make_announcement(sequence=99)))
        self.assertTrue(
            self.table.put(4, make_announcement(born_ms=2000, sequence=1))
        )

    def test_address_belongs_to_the_last_started(self) -> None:
        successor = make_announcement(
            target_id="t-2", born_ms=2000, sequence=1
        )
        self.assertTrue(self.table.put(2, successor))
        self.assertIsNone(self.table.get("t-1"))
        late = make_announcement(target_id="t-3", born_ms=1500)
        self.assertIs(AnnouncementEffect.STALE, self.table.classify(late, 0.0))

    def test_changes_are_told_by_revision(self) -> None:
        self.table.put(
            5, make_announcement(target_id="t-2", address="10.0.0.2:80")
        )
        self.table.remove(6, "t-1")
        changed = [target.announced.target_id for target in self.table]
        self.assertEqual(["t-2"], changed)
        self.assertEqual(["t-1"], list(self.table.removed_since(5)))
        self.assertEqual([], list(self.table.removed_since(6)))
