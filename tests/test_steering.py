"""The replicated part that steers: orders, resends, snapshots."""

import unittest

from msgspec.structs import replace

from tests.test_deployment import announce, make_deployment
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
    """Versions are compared in the log, and resends answered alike."""

    def setUp(self) -> None:
        self.steering = SteeringState()
        self.first = ReplaceDeployment(b"1", 0, make_deployment())
        self.assertTrue(self.steering.apply(self.first).accepted)

    def test_resent_order_is_acknowledged_again(self) -> None:
        second = ReplaceDeployment(b"2", 1, make_deployment(version=4))
        self.assertTrue(self.steering.apply(second).accepted)
        self.assertTrue(self.steering.apply(self.first).accepted)
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
        same = ReplaceDeployment(b"3", 1, make_deployment(version=1))
        result = self.steering.apply(same)
        self.assertEqual(Code.OBJECTS_INVALID.number, result.code)
        self.assertEqual(1, self.steering.deployment_version)

    def test_snapshot_keeps_everything(self) -> None:
        self.steering.apply(SetEvacuation("south-a", True))
        self.steering.apply(AnnounceTargets((announce(),)))
        gone = announce(target_id="t-9", address="10.0.0.9:80")
        self.steering.apply(AnnounceTargets((gone,)))
        self.steering.apply(RemoveTargets((("t-9", None),)))
        copy = SteeringState.restore(self.steering.snapshot())
        self.assertEqual(self.steering.snapshot(), copy.snapshot())
        self.assertTrue(copy.apply(self.first).accepted)
        late = replace(gone, sequence=50)
        copy.apply(AnnounceTargets((late,)))
        self.assertIsNone(copy.targets.get("t-9"))
