"""The replicated routing state: deployment, evacuations and targets."""

from collections.abc import Callable, Iterable
from typing import Any, Final

import cbor2
import msgspec

from wigeonford.control._commands import CommandResult
from wigeonford.control._steering_commands import (
    AnnounceTargets,
    ChangeHolders,
    PatchDeployment,
    RemoveTargets,
    ReplaceDeployment,
    SetEvacuation,
)
from wigeonford.deployment import (
    apply_patch,
    check_deployment,
    Deployment,
    DeploymentPatch,
    diff_deployments,
    Evacuations,
    share_unchanged,
    Target,
    TargetTable,
)
from wigeonford.errors import Code

MAX_RECENT_DEPLOYMENTS: Final = 32
"""Recent deployments kept to send entry VMs patches instead of a full
deployment; entry VMs are a few deployments behind at most."""
MAX_REMEMBERED_ORDERS: Final = 4096
"""Accepted orders remembered to recognize retries; the largest supported
deployment has 2,500 orders a day."""


class _SteeringTables(msgspec.Struct):
    """Hold the content of a snapshot."""

    revision: int = 0
    deployment: Deployment | None = None
    deployment_revision: int = 0
    evacuation_revision: int = 0
    evacuated: list[str] = msgspec.field(default_factory=list)
    taken_back: dict[str, int] = msgspec.field(default_factory=dict)
    targets: list[Target] = msgspec.field(default_factory=list)
    tombstones: list[tuple[str, int, int]] = msgspec.field(
        default_factory=list
    )
    returnable: list[tuple[str, int]] = msgspec.field(default_factory=list)
    orders: list[bytes] = msgspec.field(default_factory=list)
    holders: list[str] = msgspec.field(default_factory=list)


_Applier = Callable[["SteeringState", Any], CommandResult]
_APPLIERS: Final[dict[type[Any], _Applier]] = {}


def _applies(kind: type[Any]) -> Callable[[_Applier], _Applier]:
    def add(method: _Applier) -> _Applier:
        _APPLIERS[kind] = method
        return method

    return add


class SteeringState:
    """Apply commands to the deployment, the evacuations and the targets.

    `revision` increases with each change, so that a reader can request the
    changes after the revision that it has.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.deployment: Deployment | None = None
        self.deployment_revision = 0
        self.evacuations = Evacuations()
        self.evacuation_revision = 0
        self.targets = TargetTable()
        self.holders: set[str] = set()
        self._accepted_order_ids: dict[bytes, None] = {}
        # Deployments by revision; not part of snapshots.
        self._recent_deployments: dict[int, Deployment] = {}
        self._patch_cache: dict[tuple[int, int], DeploymentPatch] = {}

    @staticmethod
    def handles(record: Any) -> bool:
        """Return whether a command changes the routing state."""
        return type(record) in _APPLIERS

    def apply(self, record: Any) -> CommandResult:
        """Apply one command, deterministically."""
        return _APPLIERS[type(record)](self, record)

    @property
    def deployment_version(self) -> int:
        """Return the current deployment version, 0 if there is none."""
        return self.deployment.version if self.deployment else 0

    def _result(
        self, code: Code, detail: str = "", faults: Iterable[str] = ()
    ) -> CommandResult:
        return CommandResult(code.number, self.revision, detail, tuple(faults))

    def _advance(self) -> int:
        self.revision += 1
        return self.revision

    @_applies(ReplaceDeployment)
    def _replace_deployment(self, record: ReplaceDeployment) -> CommandResult:
        return self._publish(
            record.order_id, record.expected, lambda _: record.deployment
        )

    @_applies(PatchDeployment)
    def _patch_deployment(self, record: PatchDeployment) -> CommandResult:
        return self._publish(
            record.order_id,
            record.expected,
            lambda base: apply_patch(base, record.patch) if base else None,
        )

    def _publish(
        self,
        order_id: bytes,
        expected: int,
        build: Callable[[Deployment | None], Deployment | None],
    ) -> CommandResult:
        """Publish a deployment; a retry of an accepted order succeeds."""
        if order_id in self._accepted_order_ids:
            return self._result(Code.OK)
        if expected != self.deployment_version:
            return self._result(
                Code.VERSION_CONFLICT,
                f"the current version is {self.deployment_version}",
            )
        deployment = build(self.deployment)
        if deployment is None:
            return self._result(
                Code.OBJECTS_INVALID, "there is no deployment to patch"
            )
        faults = tuple(check_deployment(deployment))
        if deployment.version <= self.deployment_version:
            faults += (
                f"version {deployment.version} is not newer than the current",
            )
        if faults:
            return self._result(
                Code.OBJECTS_INVALID, "; ".join(faults), faults
            )
        if self.deployment is not None:
            deployment = share_unchanged(self.deployment, deployment)
        self.deployment = deployment
        self.deployment_revision = self._advance()
        self._recent_deployments[self.deployment_revision] = deployment
        if len(self._recent_deployments) > MAX_RECENT_DEPLOYMENTS:
            del self._recent_deployments[next(iter(self._recent_deployments))]
        self._patch_cache.clear()
        self._accepted_order_ids[order_id] = None
        if len(self._accepted_order_ids) > MAX_REMEMBERED_ORDERS:
            del self._accepted_order_ids[next(iter(self._accepted_order_ids))]
        return self._result(Code.OK)

    @_applies(SetEvacuation)
    def _set_evacuation(self, record: SetEvacuation) -> CommandResult:
        expected = record.expected_revision
        if expected not in (None, self.evacuation_revision):
            return self._result(
                Code.VERSION_CONFLICT,
                f"the evacuations are at revision {self.evacuation_revision}",
            )
        change = (
            self.evacuations.begin if record.active else self.evacuations.end
        )
        # Also one that changes nothing keeps earlier ones from coming late.
        if change(record.zone) or expected is not None:
            self.evacuation_revision = self._advance()
        return self._result(Code.OK)

    @_applies(AnnounceTargets)
    def _announce_targets(self, record: AnnounceTargets) -> CommandResult:
        revision = self.revision + 1
        changed = [
            self.targets.put(revision, announcement)
            for announcement in record.announcements
        ]
        if any(changed):
            self.revision = revision
        return self._result(Code.OK)

    @_applies(RemoveTargets)
    def _remove_targets(self, record: RemoveTargets) -> CommandResult:
        revision = self.revision + 1
        for target_id, born_ms in record.targets:
            target = self.targets.get(target_id)
            if target is None:
                continue
            if born_ms is None or born_ms == target.announced.born_ms:
                self.targets.remove(
                    revision, target_id, may_return=record.may_return
                )
                self.revision = revision
        return self._result(Code.OK)

    @_applies(ChangeHolders)
    def _change_holders(self, record: ChangeHolders) -> CommandResult:
        self.holders.update(record.added)
        self.holders.difference_update(record.removed)
        return self._result(Code.OK)

    def patch_since(self, revision: int) -> DeploymentPatch | None:
        """Return the changes of the deployment after a revision.

        Return None if this replica no longer has the deployment as of that
        revision.
        """
        known = [at for at in self._recent_deployments if at <= revision]
        if not known or self.deployment is None:
            return None
        key = (max(known), self.deployment_revision)
        patch = self._patch_cache.get(key)
        if patch is None:
            base = self._recent_deployments[key[0]]
            patch = diff_deployments(base, self.deployment)
            self._patch_cache[key] = patch
        return patch

    def snapshot(self) -> bytes:
        """Return the encoded routing state."""
        tables = _SteeringTables(
            self.revision,
            self.deployment,
            self.deployment_revision,
            self.evacuation_revision,
            sorted(self.evacuations.zones),
            self.evacuations.ended_counts,
            list(self.targets),
            list(self.targets.tombstones()),
            list(self.targets.returnable()),
            list(self._accepted_order_ids),
            sorted(self.holders),
        )
        return cbor2.dumps(msgspec.to_builtins(tables, builtin_types=(bytes,)))

    @classmethod
    def restore(cls, data: bytes) -> "SteeringState":
        """Return the routing state that `snapshot` encoded."""
        tables = msgspec.convert(
            cbor2.loads(data), _SteeringTables, builtin_types=(bytes,)
        )
        steering = cls()
        steering.revision = tables.revision
        steering.deployment = tables.deployment
        steering.deployment_revision = tables.deployment_revision
        steering.evacuation_revision = tables.evacuation_revision
        steering.evacuations = Evacuations(tables.evacuated, tables.taken_back)
        steering.targets = TargetTable(
            tables.targets, tables.tombstones, tables.returnable
        )
        steering.holders = set(tables.holders)
        steering._accepted_order_ids = dict.fromkeys(tables.orders)
        return steering
