"""Leases on a budget never add up to more than its capacity."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    invariant,
    precondition,
    rule,
    RuleBasedStateMachine,
)

from wigeonford.leases import (
    LeaseGrant,
    LeaseGrantor,
    LeaseHolder,
    LeaseRequest,
    max_min_fair_amount,
)

CAPACITY = 12.0
TERM_S = 3.0
HOLDERS = ("a", "b", "c")
WANTED = (0.0, 4.0, 12.0, 20.0)


class LeaseMachine(RuleBasedStateMachine):
    """Lose, delay and reorder messages; restart holders and grantor."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.grantor = LeaseGrantor(CAPACITY, TERM_S, 0.0, takes_over=False)
        self.holders = {name: LeaseHolder(name, TERM_S) for name in HOLDERS}
        self.stopped_holders: list[LeaseHolder] = []
        self.requests: list[tuple[LeaseHolder, LeaseRequest]] = []
        self.grants: list[tuple[LeaseHolder, LeaseGrant]] = []
        self.restarts = 0

    @rule(name=st.sampled_from(HOLDERS), wanted=st.sampled_from(WANTED))
    def exchange(self, name: str, wanted: float) -> None:
        holder = self.holders[name]
        request = holder.next_request(wanted, self.now_s)
        holder.accept(self.grantor.request(request, self.now_s))

    @rule(name=st.sampled_from(HOLDERS), wanted=st.sampled_from(WANTED))
    def exchange_with_late_reply(self, name: str, wanted: float) -> None:
        holder = self.holders[name]
        request = holder.next_request(wanted, self.now_s)
        grant = self.grantor.request(request, self.now_s)
        self.grants.append((holder, grant))

    @rule(name=st.sampled_from(HOLDERS), wanted=st.sampled_from(WANTED))
    def create_request(self, name: str, wanted: float) -> None:
        holder = self.holders[name]
        self.requests.append((holder, holder.next_request(wanted, self.now_s)))

    @precondition(lambda self: self.requests)
    @rule(data=st.data())
    def deliver_request(self, data: st.DataObject) -> None:
        index = data.draw(st.integers(0, len(self.requests) - 1))
        holder, request = self.requests.pop(index)
        grant = self.grantor.request(request, self.now_s)
        self.grants.append((holder, grant))

    @precondition(lambda self: self.grants)
    @rule(data=st.data())
    def deliver_grant(self, data: st.DataObject) -> None:
        index = data.draw(st.integers(0, len(self.grants) - 1))
        holder, grant = self.grants.pop(index)
        holder.accept(grant)

    @rule(seconds=st.sampled_from((0.1, 1.0, 2.9, 3.1)))
    def advance(self, seconds: float) -> None:
        self.now_s += seconds

    @rule(name=st.sampled_from(HOLDERS))
    def restart_holder(self, name: str) -> None:
        self.stopped_holders.append(self.holders[name])
        self.restarts += 1
        self.holders[name] = LeaseHolder(f"{name}/{self.restarts}", TERM_S)

    @rule()
    def replace_grantor(self) -> None:
        self.requests.clear()
        self.grantor = LeaseGrantor(CAPACITY, TERM_S, self.now_s)

    @invariant()
    def never_over_capacity(self) -> None:
        holders = [*self.holders.values(), *self.stopped_holders]
        used = sum(holder.amount(self.now_s) for holder in holders)
        assert used <= CAPACITY + 1e-9, f"{used} units are leased"


LeaseTest = LeaseMachine.TestCase
LeaseTest.settings = settings(
    max_examples=500, stateful_step_count=25, derandomize=True, deadline=None
)


class FairPartTest(unittest.TestCase):
    """Divide a capacity by max-min fairness."""

    def test_cases(self) -> None:
        cases: tuple[tuple[float, float, list[float], float], ...] = (
            (12.0, 3.0, [2.0], 3.0),
            (12.0, 10.0, [10.0, 10.0], 4.0),
            (12.0, 10.0, [2.0, 3.0], 7.0),
            (12.0, 2.0, [10.0, 10.0], 2.0),
            (12.0, 0.0, [], 0.0),
        )
        for capacity, wanted, others, amount in cases:
            with self.subTest(wanted=wanted, others=others):
                self.assertEqual(
                    max_min_fair_amount(capacity, wanted, others), amount
                )
