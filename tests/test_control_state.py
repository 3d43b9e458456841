"""The command layer against a dictionary, with resends and races."""

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
    """Apply commands to two replicas and to a simple model."""

    @initialize()
    def begin(self) -> None:
        self.state = State()
        self.held = ConfigTable()
        self.versions: dict[str, int] = {}
        self.values: dict[str, float] = {}
        self.answers: list[tuple[Any, CommandResult]] = []
        self.keys: dict[str, bool] = {}
        self.revision = 0
        self.number = 0

    def apply(self, record: Any) -> CommandResult:
        result = self.state.apply(record)
        self.answers.append((record, result))
        assert self.state.revision == self.revision, "revisions count changes"
        return result

    def next_id(self) -> str:
        self.number += 1
        return str(self.number)

    @rule(name=NAMES, behind=st.integers(0, 2), delete=st.booleans())
    def change(self, name: str, behind: int, delete: bool) -> None:
        version = self.versions.get(name, 0)
        seen = version - behind
        data = {"name": name, "rate_per_s": self.number + 1, "burst": 1.0}
        edit = Edit("client_accounts", name, seen, None if delete else data)
        expected = Code.OK
        if seen != version:
            expected = Code.VERSION_CONFLICT
        else:
            self.versions[name] = version + 1
            self.values.pop(name, None)
            if not delete:
                self.values[name] = self.number + 1
            self.revision += 1
        change = ApplyChange(self.next_id(), "author", 1.0, (edit,))
        assert self.apply(change).code == expected.number, "as in the model"

    @rule(draw=st.integers(0, 10**6))
    def resend(self, draw: int) -> None:
        if not self.answers:
            return
        record, first = self.answers[draw % len(self.answers)]
        if hasattr(record, "change_id"):
            assert self.state.apply(record) == first, "the first answer"
            assert self.state.revision == self.revision, "nothing changes"

    @rule(name=NAMES)
    def issue(self, name: str) -> None:
        key_id = f"{name}{self.next_id()}"
        known = name in self.values
        if known:
            self.keys[key_id] = True
            self.revision += 1
        issue = IssueKey(
            f"i{key_id}", "author", 1.0, key_id, name, key_id.encode()
        )
        assert self.apply(issue).accepted is known, "accounts own keys"

    @rule(draw=st.integers(0, 10**6))
    def withdraw(self, draw: int) -> None:
        if not self.keys:
            return
        key_id = list(self.keys)[draw % len(self.keys)]
        if self.keys[key_id]:
            self.revision += 1
        self.keys[key_id] = False
        stop = WithdrawKey(self.next_id(), "author", 1.0, key_id)
        assert self.apply(stop).accepted, "withdrawing is idempotent"

    @rule()
    def restore(self) -> None:
        copy = State.restore(self.state.snapshot())
        assert copy.snapshot() == self.state.snapshot(), "nothing is lost"
        self.state = copy

    @rule()
    def pull(self) -> None:
        update = self.state.config.changes_since(self.held.revision, None)
        after = self.held.with_update(update)
        assert after is not None, "a delta leads to its digest"
        self.held = after
        accounts = after.objects.client_accounts
        values = {name: item.rate_per_s for name, item in accounts.items()}
        assert values == self.values, "the model's values are published"
        live = {k for k, (_, r) in after.keys.items() if not r.withdrawn}
        assert live == {k for k, on in self.keys.items() if on}, "live keys"


StateMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
StateMachineTest = StateMachine.TestCase
