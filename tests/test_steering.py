"""The replicated routing state: orders, resends and snapshots."""

import unittest

from msgspec.structs import replace

from tests.test_deployment import make_announcement, make_deployment
from wigeonford.control import (
    AnnounceTargets,
    PatchDeployment,
    RemoveTargets,
    ReplaceDeployment,
    SetEvacuation,
    SteeringState,
)
from wigeonford.deployment import DeploymentPatch
from wigeonford.errors import Code


class OrderTest(unittest.TestCase):
    """An order applies to its expected version; a resend succeeds again."""

    def setUp(self) -> None:
        self.steering = SteeringState()
        self.first_order = ReplaceDeployment(b"1", 0, make_deployment())
        self.assertTrue(self.steering.apply(self.first_order).accepted)

    def test_resent_order_is_acknowledged_again(self) -> None:
        second_order = ReplaceDeployment(b"2", 1, make_deployment(version=4))
        self.assertTrue(self.steering.apply(second_order).accepted)
        self.assertTrue(self.steering.apply(self.first_order).accepted)
        self.assertEqual(4, self.steering.deployment_version)

    def test_one_of_two_on_the_same_version_wins(self) -> None:
        patches = [
            PatchDeployment(order, 1, DeploymentPatch(9))
            for order in (b"a", b"b")
        ]
        codes = [self.steering.apply(patch).code for patch in patches]
        expected = [Code.OK.number, Code.VERSION_CONFLICT.number]
        self.assertEqual(expected, codes)

    def test_invalid_and_old_versions_are_refused(self) -> None:
        same_version = ReplaceDeployment(b"3", 1, make_deployment(version=1))
        result = self.steering.apply(same_version)
        self.assertEqual(Code.OBJECTS_INVALID.number, result.code)
        self.assertEqual(1, self.steering.deployment_version)

    def test_snapshot_keeps_everything(self) -> None:
        self.steering.apply(SetEvacuation("south-a", True))
        self.steering.apply(AnnounceTargets((make_announcement(),)))
        removed = make_announcement(target_id="t-9", address="10.0.0.9:80")
        self.steering.apply(AnnounceTargets((removed,)))
        self.steering.apply(RemoveTargets((("t-9", None),)))
        restored = SteeringState.restore(self.steering.snapshot())
        self.assertEqual(self.steering.snapshot(), restored.snapshot())
        self.assertTrue(restored.apply(self.first_order).accepted)
        late_announcement = replace(removed, sequence=50)
        restored.apply(AnnounceTargets((late_announcement,)))
        self.assertIsNone(restored.targets.get("t-9"))
