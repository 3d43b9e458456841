"""Commands on the control state, checked against a simple model."""

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule, RuleBasedStateMachine

from wigeonford.config_table import ConfigTable
from wigeonford.control import (
    ApplyChange,
    CommandResult,
    Edit,
    IssueKey,
    State,
    WithdrawKey,
)
from wigeonford.errors import Code

NAMES = st.sampled_from(["a", "b", "c"])


class StateMachine(RuleBasedStateMachine):
    """Apply commands to a control state and to a simple model.

    Commands may be resent, expect an old version or follow a restore from a
    snapshot. A config table pulls the changes.
    """

    @initialize()
    def begin(self) -> None:
        self.state = State()
        self.config_table = ConfigTable()
        self.versions: dict[str, int] = {}
        self.values: dict[str, float] = {}
        self.results: list[tuple[Any, CommandResult]] = []
        self.keys: dict[str, bool] = {}
        self.revision = 0
        self.number = 0

    def apply(self, record: Any) -> CommandResult:
        result = self.state.apply(record)
        self.results.append((record, result))
        assert self.state.revision == self.revision, "revisions count changes"
        return result

    def next_id(self) -> str:
        self.number += 1
        return str(self.number)

    @rule(name=NAMES, behind=st.integers(0, 2), delete=st.booleans())
    def change(self, name: str, behind: int, delete: bool) -> None:
        version = self.versions.get(name, 0)
        expected_version = version - behind
        data = {"name": name, "rate_per_s": self.number + 1, "burst": 1.0}
        edit = Edit(
            "client_accounts", name, expected_version, None if delete else data
        )
        expected_code = Code.OK
        if expected_version != version:
            expected_code = Code.VERSION_CONFLICT
        else:
            self.versions[name] = version + 1
            self.values.pop(name, None)
            if not delete:
                self.values[name] = self.number + 1
            self.revision += 1
        change = ApplyChange(self.next_id(), "author", 1.0, (edit,))
        assert self.apply(change).code == expected_code.number, (
            "the code is that of the model"
        )

    @rule(draw=st.integers(0, 10**6))
    def resend(self, draw: int) -> None:
        if not self.results:
            return
        record, first_result = self.results[draw % len(self.results)]
        if hasattr(record, "change_id"):
            assert self.state.apply(record) == first_result, (
                "a resend gets the first result"
            )
            assert self.state.revision == self.revision, (
                "a resend changes nothing"
            )

    @rule(name=NAMES)
    def issue(self, name: str) -> None:
        key_id = f"{name}{self.next_id()}"
        is_known = name in self.values
        if is_known:
            self.keys[key_id] = True
            self.revision += 1
        issue = IssueKey(
            f"i{key_id}", "author", 1.0, key_id, name, key_id.encode()
        )
        assert self.apply(issue).accepted is is_known, (
            "only a known account gets a key"
        )

    @rule(draw=st.integers(0, 10**6))
    def withdraw(self, draw: int) -> None:
        if not self.keys:
            return
        key_id = list(self.keys)[draw % len(self.keys)]
        if self.keys[key_id]:
            self.revision += 1
        self.keys[key_id] = False
        command = WithdrawKey(self.next_id(), "author", 1.0, key_id)
        assert self.apply(command).accepted, "withdrawing is idempotent"

    @rule()
    def restore(self) -> None:
        restored = State.restore(self.state.snapshot())
        assert restored.snapshot() == self.state.snapshot(), (
            "a snapshot is complete"
        )
        self.state = restored

    @rule()
    def pull(self) -> None:
        update = self.state.config.changes_since(
            self.config_table.revision, None
        )
        updated = self.config_table.with_update(update)
        assert updated is not None, "a delta leads to its digest"
        self.config_table = updated
        accounts = updated.objects.client_accounts
        values = {name: item.rate_per_s for name, item in accounts.items()}
        assert values == self.values, "the model's values are published"
        live_keys = {
            k for k, (_, r) in updated.keys.items() if not r.withdrawn
        }
        assert live_keys == {
            k for k, is_live in self.keys.items() if is_live
        }, "the model's live keys are published"


StateMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
StateMachineTest = StateMachine.TestCase
