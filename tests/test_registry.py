"""Target registry: sequence numbers and leases of announcements."""

import unittest

from wigeonford.entry import TargetRegistry
from wigeonford.errors import Code, RequestRejected
from wigeonford.messages.object import TargetAnnounce

TARGET_ID = "10.0.0.1:80"
START_NS = 1_000_000


def _announcement(sequence: int, *, leaving: bool = False) -> TargetAnnounce:
    return TargetAnnounce(
        "catalogue", "10.0.0.1", 80, "new", 4, sequence, 3.0, 0.0, leaving
    )


class RegistryTest(unittest.TestCase):
    """Reject announcements that arrive late; accept a restarted target."""

    def setUp(self) -> None:
        self.registry = TargetRegistry()
        self.registry.announce(_announcement(START_NS), 0.0)

    def _is_stale(self, sequence: int, now_s: float) -> bool:
        try:
            self.registry.announce(_announcement(sequence), now_s)
        except RequestRejected as exc:
            return exc.code is Code.ANNOUNCEMENT_STALE
        return False

    def test_late_duplicate_does_not_revive(self) -> None:
        self.registry.announce(_announcement(START_NS + 2, leaving=True), 1.0)
        for sequence in (
            START_NS,
            START_NS + 1,
            START_NS + 2,
        ):
            self.assertTrue(self._is_stale(sequence, 1.5))
        tombstone = self.registry.find(TARGET_ID)
        assert tombstone is not None, "a target that left has a tombstone"
        self.assertTrue(tombstone.leaving)

    def test_restart_at_the_same_address_overtakes(self) -> None:
        self.registry.announce(
            _announcement(START_NS + 900, leaving=True), 1.0
        )
        restarted = self.registry.announce(_announcement(2 * START_NS), 1.5)
        self.assertFalse(restarted.leaving)
        self.assertTrue(self._is_stale(START_NS + 901, 1.6))

    def test_lease_ends_once_and_is_remembered(self) -> None:
        self.assertEqual(self.registry.expire(2.9), [])
        self.assertEqual(len(self.registry.expire(3.1)), 1)
        self.assertEqual(self.registry.expire(3.2), [])
        self.assertTrue(self._is_stale(START_NS, 3.3))
        self.registry.expire(3.1 + 60.0)
        self.assertIsNone(self.registry.find(TARGET_ID))
