"""The replicated part of the state that steers requests: pure."""

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
    Target,
    TargetTable,
)
from wigeonford.errors import Code

MAX_PUBLISHED: Final = 32
"""Deployments kept to tell entry VMs only what has changed; they lag by a
few at most."""
MAX_ORDERS: Final = 4096
"""Accepted orders remembered for resends; the target size has 2,500 a
day."""


class _SteeringTables(msgspec.Struct):
    """Hold everything that a snapshot carries."""

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
    orders: list[bytes] = msgspec.field(default_factory=list)
    holders: list[str] = msgspec.field(default_factory=list)


_Applier = Callable[["Steering", Any], CommandResult]
_APPLIERS: Final[dict[type[Any], _Applier]] = {}


def _applies(kind: type[Any]) -> Callable[[_Applier], _Applier]:
    def add(method: _Applier) -> _Applier:
        _APPLIERS[kind] = method
        return method

    return add


class Steering:
    """Hold the deployment, the evacuations and the targets.

    `revision` rises with each change, so that a reader can ask for what
    came after the one it holds.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.deployment: Deployment | None = None
        self.deployment_revision = 0
        self.evacuations = Evacuations()
        self.evacuation_revision = 0
        self.targets = TargetTable()
        self.holders: set[str] = set()
        self._orders: dict[bytes, None] = {}
        # By revision; not part of snapshots.
        self._published: dict[int, Deployment] = {}
        self._patches: dict[tuple[int, int], DeploymentPatch] = {}

    @staticmethod
    def takes(record: Any) -> bool:
        """Tell whether a command is for this part of the state."""
        return type(record) in _APPLIERS

    def apply(self, record: Any) -> CommandResult:
        """Apply one command; the same commands give the same results."""
        return _APPLIERS[type(record)](self, record)

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self.deployment.version if self.deployment else 0

    def _result(
        self, code: Code, detail: str = "", faults: Iterable[str] = ()
    ) -> CommandResult:
        return CommandResult(code.number, self.revision, detail, tuple(faults))

    def _advance(self) -> int:
        self.revision += 1
        return self.revision

    @_applies(ReplaceDeployment)
    def _replace(self, record: ReplaceDeployment) -> CommandResult:
        return self._publish(
            record.order_id, record.expected, lambda _: record.deployment
        )

    @_applies(PatchDeployment)
    def _patch(self, record: PatchDeployment) -> CommandResult:
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
        """Publish a version; a resent order gets its first answer."""
        if order_id in self._orders:
            return self._result(Code.OK)
        if expected != self.version:
            return self._result(
                Code.VERSION_CONFLICT, f"version {self.version} is in force"
            )
        deployment = build(self.deployment)
        if deployment is None:
            return self._result(Code.OBJECTS_INVALID, "nothing to change")
        faults = tuple(check_deployment(deployment))
        if deployment.version <= self.version:
            faults += (f"version {deployment.version} is not newer",)
        if faults:
            return self._result(
                Code.OBJECTS_INVALID, "; ".join(faults), faults
            )
        self.deployment = deployment
        self.deployment_revision = self._advance()
        self._published[self.deployment_revision] = deployment
        if len(self._published) > MAX_PUBLISHED:
            del self._published[next(iter(self._published))]
        self._patches.clear()
        self._orders[order_id] = None
        if len(self._orders) > MAX_ORDERS:
            del self._orders[next(iter(self._orders))]
        return self._result(Code.OK)

    @_applies(SetEvacuation)
    def _set_evacuation(self, record: SetEvacuation) -> CommandResult:
        change = (
            self.evacuations.begin if record.active else self.evacuations.end
        )
        if change(record.zone):
            self.evacuation_revision = self._advance()
        return self._result(Code.OK)

    @_applies(AnnounceTargets)
    def _announce(self, record: AnnounceTargets) -> CommandResult:
        revision = self.revision + 1
        changed = [
            self.targets.put(revision, said) for said in record.announcements
        ]
        if any(changed):
            self.revision = revision
        return self._result(Code.OK)

    @_applies(RemoveTargets)
    def _remove(self, record: RemoveTargets) -> CommandResult:
        revision = self.revision + 1
        for target_id, born_ms in record.targets:
            held = self.targets.get(target_id)
            if held is None:
                continue
            if born_ms is None or born_ms == held.announced.born_ms:
                self.targets.remove(revision, target_id)
                self.revision = revision
        return self._result(Code.OK)

    @_applies(ChangeHolders)
    def _change_holders(self, record: ChangeHolders) -> CommandResult:
        self.holders.update(record.added)
        self.holders.difference_update(record.removed)
        return self._result(Code.OK)

    def patch_since(self, revision: int) -> DeploymentPatch | None:
        """Return what has changed of the deployment after a revision.

        Return None where this replica does not know any more what was in
        force then.
        """
        known = [at for at in self._published if at <= revision]
        if not known or self.deployment is None:
            return None
        key = (max(known), self.deployment_revision)
        patch = self._patches.get(key)
        if patch is None:
            base = self._published[key[0]]
            patch = diff_deployments(base, self.deployment)
            self._patches[key] = patch
        return patch

    def snapshot(self) -> bytes:
        """Return this part of the state as bytes."""
        tables = _SteeringTables(
            self.revision,
            self.deployment,
            self.deployment_revision,
            self.evacuation_revision,
            sorted(self.evacuations.zones),
            self.evacuations.taken_back,
            list(self.targets),
            list(self.targets.tombstones()),
            list(self._orders),
            sorted(self.holders),
        )
        return cbor2.dumps(msgspec.to_builtins(tables, builtin_types=(bytes,)))

    @classmethod
    def restore(cls, data: bytes) -> "Steering":
        """Return the part of the state that `snapshot` described."""
        tables = msgspec.convert(
            cbor2.loads(data), _SteeringTables, builtin_types=(bytes,)
        )
        steering = cls()
        steering.revision = tables.revision
        steering.deployment = tables.deployment
        steering.deployment_revision = tables.deployment_revision
        steering.evacuation_revision = tables.evacuation_revision
        steering.evacuations = Evacuations(tables.evacuated, tables.taken_back)
        steering.targets = TargetTable(tables.targets, tables.tombstones)
        steering.holders = set(tables.holders)
        steering._orders = dict.fromkeys(tables.orders)
        return steering
