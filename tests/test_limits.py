"""All VMs together never spend more than an account's rate and burst."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    initialize,
    invariant,
    precondition,
    rule,
    RuleBasedStateMachine,
)
from msgspec.structs import replace

from wigeonford.leases import BucketLimits, Demand
from wigeonford.leases._leases import DRIFT_MARGIN
from wigeonford.policy import (
    AccountQuota,
    BudgetGrantor,
    DISPATCH_JITTER_S,
    leased_budget,
    LoanGrant,
    QUOTA_TERM_S,
    QUOTA_UNITS,
    QuotaBucket,
    QuotaGrant,
    QuotaRequest,
    TokenQueue,
    TokenResult,
)

BUDGET = BucketLimits(8.0, 12.0)
NAMES = st.sampled_from(("a", "b", "c"))
ARRIVALS = st.sampled_from((0, 5, 30))
NEEDS = st.sampled_from((0, 6))
_EPSILON = 1e-6


class ReferenceBucket:
    """Model one central bucket with the whole budget of the account."""

    def __init__(self, budget: BucketLimits) -> None:
        self.budget = budget
        self.tokens = budget.burst
        self.at_s = 0.0

    def level(self, now_s: float) -> float:
        """Return the tokens available now."""
        refilled = (now_s - self.at_s) * self.budget.rate_per_s
        self.tokens = min(self.budget.burst, self.tokens + refilled)
        self.at_s = now_s
        return self.tokens

    def spend(self, now_s: float) -> None:
        """Spend a token; fail if none is available."""
        self.tokens = self.level(now_s) - 1
        assert self.tokens >= -_EPSILON, f"overspent by {-self.tokens}"


class BudgetMachine(RuleBasedStateMachine):
    """Disturb VMs that lease from a grantor, and the grantor.

    Messages are lost, delayed and duplicated, VMs restart, and the grantor
    is replaced by one without its state.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.reference = ReferenceBucket(BUDGET)
        self.grantor = BudgetGrantor(BUDGET, 0.0)
        self.quotas: dict[str, AccountQuota] = {}
        self.incarnations = 0
        self.requests: list[tuple[str, str, QuotaRequest]] = []
        self.grants: list[tuple[str, QuotaGrant]] = []
        for name in ("a", "b", "c"):
            self.start(name)

    @initialize(is_full=st.booleans())
    def fill_reserve(self, is_full: bool) -> None:
        """Fill the reserve and the reference bucket equally.

        If the reserve began with fewer tokens, overspending by up to the
        difference would not be detected.
        """
        self.reference.tokens = BUDGET.burst if is_full else 0.0
        filled_from_s = -BUDGET.burst if is_full else 0.0
        self.grantor = BudgetGrantor(BUDGET, filled_from_s)

    def start(self, name: str) -> None:
        self.incarnations += 1
        incarnation = f"{name}/{self.incarnations}"
        self.quotas[name] = AccountQuota(incarnation, BUDGET, self.now_s)

    def next_request(
        self, name: str, arrivals: int, need: int
    ) -> QuotaRequest:
        quota = self.quotas[name]
        for _ in range(arrivals):
            quota.record_arrival(self.now_s)
        return quota.next_request(self.now_s, need)

    @rule(name=NAMES, arrivals=ARRIVALS, need=NEEDS)
    def exchange(self, name: str, arrivals: int, need: int) -> None:
        quota = self.quotas[name]
        request = self.next_request(name, arrivals, need)
        grant = self.grantor.request(quota.name, request, self.now_s)
        quota.accept(grant, self.now_s)

    def find_vm_with_most_tokens(self) -> str:
        """Return the VM with the most tokens: it can overspend the most."""
        return max(
            self.quotas, key=lambda name: self.quotas[name].tokens(self.now_s)
        )

    @rule(count=st.sampled_from((1, 5, 14)))
    def spend(self, count: int) -> None:
        name = self.find_vm_with_most_tokens()
        for _ in range(count):
            if self.quotas[name].spend(self.now_s):
                self.reference.spend(self.now_s)

    @rule(seconds=st.sampled_from((0.1, 0.45, 0.65, 5.5, 6.2)))
    def advance(self, seconds: float) -> None:
        self.now_s += seconds

    @rule(busy=NAMES)
    def run_undisturbed(self, busy: str) -> None:
        for _ in range(4):
            self.now_s += 1.0
            for name in self.quotas:
                self.exchange(name, 16 if name == busy else 0, 0)

    @rule(name=NAMES, arrivals=ARRIVALS, need=NEEDS)
    def send_request(self, name: str, arrivals: int, need: int) -> None:
        request = self.next_request(name, arrivals, need)
        self.requests.append((name, self.quotas[name].name, request))

    @precondition(lambda self: self.requests)
    @rule(data=st.data(), is_duplicated=st.booleans())
    def deliver_request(
        self, data: st.DataObject, is_duplicated: bool
    ) -> None:
        index = data.draw(st.integers(0, len(self.requests) - 1))
        name, incarnation, request = self.requests[index]
        if not is_duplicated:
            del self.requests[index]
        grant = self.grantor.request(incarnation, request, self.now_s)
        self.grants.append((name, grant))

    @precondition(lambda self: self.grants)
    @rule(data=st.data(), is_duplicated=st.booleans())
    def deliver_grant(self, data: st.DataObject, is_duplicated: bool) -> None:
        index = data.draw(st.integers(0, len(self.grants) - 1))
        name, grant = self.grants[index]
        if not is_duplicated:
            del self.grants[index]
        self.quotas[name].accept(grant, self.now_s)

    @rule(
        borrower=NAMES,
        tokens=st.sampled_from((1, 6, 12)),
        is_resent=st.booleans(),
    )
    def borrow_from_peer(
        self, borrower: str, tokens: int, is_resent: bool
    ) -> None:
        lender = self.find_vm_with_most_tokens()
        if borrower == lender:
            return
        quota = self.quotas[borrower]
        loan_id = quota.open_loan(self.now_s)
        grant = self.quotas[lender].lend(loan_id, tokens, self.now_s)
        if is_resent:
            resent_grant = self.quotas[lender].lend(
                loan_id, tokens, self.now_s
            )
            assert resent_grant.tokens == grant.tokens, "loans are idempotent"
        quota.borrow(loan_id, grant, self.now_s)
        quota.borrow(loan_id, grant, self.now_s)

    @rule(name=NAMES)
    def restart(self, name: str) -> None:
        self.grants = [item for item in self.grants if item[0] != name]
        self.start(name)

    @invariant()
    def never_overspent(self) -> None:
        """Check all spendable tokens together against the reference."""
        spendable = sum(
            quota.tokens(self.now_s) for quota in self.quotas.values()
        )
        spendable += self.grantor.reserve_tokens(self.now_s)
        level = self.reference.level(self.now_s)
        assert spendable <= level + _EPSILON, (
            f"{spendable} tokens, {level} allowed"
        )

    @invariant()
    def never_over_leased(self) -> None:
        """Check that leases and the reserve never exceed the budget."""
        fractions = [
            quota.fraction(self.now_s) for quota in self.quotas.values()
        ]
        fractions.append(self.grantor.reserved())
        assert sum(fractions) <= 1 + _EPSILON, f"{fractions} exceed 1"

    @rule()
    def replace_grantor(self) -> None:
        self.requests.clear()
        self.grantor = BudgetGrantor(
            BUDGET, self.now_s, takes_over_at_s=self.now_s
        )


BudgetTest = BudgetMachine.TestCase
BudgetTest.settings = settings(
    max_examples=800, stateful_step_count=12, derandomize=True, deadline=None
)


class LeasedBudgetTest(unittest.TestCase):
    """Stay within the budget although requests reach targets late."""

    def test_late_dispatch_stays_within_the_budget(self) -> None:
        for rate_per_s, burst in ((20.0, 40.0), (20.0, 1.0), (50.0, 8.0)):
            with self.subTest(rate_per_s=rate_per_s, burst=burst):
                reference = ReferenceBucket(BucketLimits(rate_per_s, burst))
                arrivals_s = self.find_arrival_times(
                    leased_budget(rate_per_s, burst)
                )
                for at_s in arrivals_s:
                    reference.spend(at_s)
                self.assertGreater(len(arrivals_s), 100)

    def find_arrival_times(self, leased: BucketLimits) -> list[float]:
        """Spend every token at once; return when the requests arrive.

        Requests arrive `DISPATCH_JITTER_S` late in the first half of the
        time, and without delay in the second.
        """
        bucket = QuotaBucket(leased, 0.0)
        bucket.resize(leased, 1.0, 0.0)
        arrivals_s: list[float] = []
        for step in range(10_000, 50_000):
            now_s = step / 1000
            delay_s = DISPATCH_JITTER_S if now_s < 30 else 0.0
            while bucket.spend(now_s):
                arrivals_s.append(now_s + delay_s)
        return sorted(arrivals_s)


class ShareTest(unittest.TestCase):
    """Adapt quota fractions to demand; expire waiting requests in time."""

    def setUp(self) -> None:
        self.grantor = BudgetGrantor(BUDGET, 0.0)
        self.quota = AccountQuota("a/1", BUDGET, 0.0)
        self.queue: TokenQueue[str] = TokenQueue(self.quota)

    def test_first_request_is_served_by_a_loan(self) -> None:
        result = self.queue.arrive("x", 3.0, 9.0)
        self.assertIs(result, TokenResult.WAITING)
        need = self.queue.tokens_to_borrow(3.0)
        self.assertGreaterEqual(need, 1)
        request = self.quota.next_request(3.0, need)
        self.assertFalse(self.quota.may_request(3.1))
        grant = self.grantor.request("a/1", request, 3.1)
        self.assertTrue(self.quota.accept(grant, 3.2))
        self.assertEqual(list(self.queue.serve(3.2)), [("x", True)])

    def test_waiter_gives_up_at_the_bound_or_its_deadline(self) -> None:
        self.queue.arrive("x", 0.0, 9.0)
        self.queue.arrive("y", 0.0, 0.2)
        self.assertEqual(list(self.queue.serve(0.3)), [("y", False)])
        self.assertEqual(list(self.queue.serve(0.9)), [("x", False)])

    def test_over_demand_divides_by_max_min_fairness(self) -> None:
        demands = {"a": 1, "b": 30, "c": 30}
        quotas = {name: AccountQuota(name, BUDGET, 0.0) for name in demands}
        for step in range(1, 100):
            now_s = step / 10
            for name, count in demands.items():
                for _ in range(count if step % 10 else 10 * count):
                    quotas[name].record_arrival(now_s)
                request = quotas[name].next_request(now_s)
                grant = self.grantor.request(name, request, now_s)
                quotas[name].accept(grant, now_s)
        fractions = {
            name: quota.fraction(10.0) for name, quota in quotas.items()
        }
        self.assertAlmostEqual(fractions["b"], fractions["c"], places=2)
        self.assertAlmostEqual(sum(fractions.values()), 1.0, places=2)

    def test_idle_share_sends_nothing_after_its_release(self) -> None:
        for _ in range(20):
            self.quota.record_arrival(1.0)
        grant = self.grantor.request("a/1", self.quota.next_request(1.0), 1.0)
        self.quota.accept(grant, 1.0)
        self.assertTrue(self.quota.is_active(2.0))
        for now_s in (2.0, 12.0, 13.0, 14.0):
            request = self.quota.next_request(now_s)
            grant = self.grantor.request("a/1", request, now_s)
            self.quota.accept(grant, now_s)
        self.assertFalse(self.quota.is_active(15.0))
        self.assertEqual(self.grantor.granted(13.0 + QUOTA_TERM_S), 0.0)


class LoanTest(unittest.TestCase):
    """Never use or grant a lent fraction before its loan ends."""

    def setUp(self) -> None:
        self.grantor = BudgetGrantor(BUDGET, -BUDGET.burst)
        self.lender = AccountQuota("a/1", BUDGET, 0.0)
        self.exchange(0.0, arrivals=60)
        self.assertEqual(self.lender.tokens(0.0), BUDGET.burst)

    def exchange(self, now_s: float, arrivals: int = 0) -> QuotaRequest:
        for _ in range(arrivals):
            self.lender.record_arrival(now_s)
        request = self.lender.next_request(now_s)
        grant = self.grantor.request("a/1", request, now_s)
        self.lender.accept(grant, now_s)
        return request

    def lend(self, now_s: float) -> LoanGrant:
        return self.lender.lend("loan", 12, now_s)

    def test_lent_part_is_kept_when_demand_is_gone(self) -> None:
        self.exchange(2.7)
        lent = self.lend(2.7).tokens
        self.assertGreater(lent, 0)
        # The lease is still valid, but the demand falls to almost zero.
        self.lender._demand = Demand(2.7)
        request = self.exchange(2.8)
        self.assertGreaterEqual(request.held / QUOTA_UNITS, lent / 12.0)
        self.assertGreaterEqual(self.lender.fraction(2.8), lent / 12.0)
        self.exchange(3.4)
        self.exchange(3.5)
        self.assertEqual(self.lender.fraction(3.5), 0.0)

    def test_lent_part_is_kept_when_the_grant_is_smaller(self) -> None:
        request = self.lender.next_request(0.1)
        self.lender._demand = Demand(0.1)
        lent = self.lend(0.1).tokens
        self.assertGreater(lent, 0)
        self.lender.accept(QuotaGrant(request.number, 0), 0.2)
        self.assertGreaterEqual(self.lender.fraction(0.2), lent / 12.0)

    def test_loan_ends_before_the_lender_s_lease(self) -> None:
        ends_at_s = QUOTA_TERM_S * (1 - DRIFT_MARGIN)
        self.lender._demand = Demand(0.0)
        now_s = ends_at_s - 0.4
        self.assertLessEqual(now_s + self.lend(now_s).lifetime_s, ends_at_s)
        self.assertEqual(
            self.lender.lend("late", 1, ends_at_s - 0.1).tokens, 0
        )

    def test_tokens_are_sent_back_once(self) -> None:
        self.exchange(2.5)
        self.lender._demand = Demand(2.5)
        self.assertEqual(self.lender.next_request(2.6).returned, BUDGET.burst)
        self.assertEqual(self.lender.next_request(2.6).returned, 0.0)

    def test_repeated_return_counts_once(self) -> None:
        whole, quarter = QUOTA_UNITS, QUOTA_UNITS // 4
        self.grantor.request("a/1", QuotaRequest(8, whole, whole, 0, 0, 0), 0)
        request = QuotaRequest(9, quarter, 2 * quarter, 0, 3.0, 0)
        grant = self.grantor.request("a/1", request, 0.0)
        granted_tokens = grant.tokens
        for _ in range(3):
            granted_tokens += self.grantor.request("a/1", request, 0.0).tokens
        total = granted_tokens + self.grantor.reserve_tokens(0.0)
        self.assertLessEqual(total, 3.0)

    def test_reserve_grants_no_part_that_it_has_lent(self) -> None:
        grantor = BudgetGrantor(BUDGET, -BUDGET.burst)
        loan_grant = grantor.request(
            "b/1", QuotaRequest(1, 0, 0, 0, 0, 6), 0.0
        )
        self.assertEqual(loan_grant.loan, 6)
        request = QuotaRequest(1, 0, QUOTA_UNITS, 0, 0, 0)
        grant = grantor.request("a/1", request, 0.0)
        self.assertLessEqual(grant.units, QUOTA_UNITS // 2)

    def test_smaller_part_is_free_once_it_is_confirmed(self) -> None:
        whole, half = QUOTA_UNITS, QUOTA_UNITS // 2
        request = QuotaRequest(1, 0, whole, 0, 0, 0)
        self.assertEqual(self.grantor.request("b/1", request, 0.1).units, 0)
        renewal = QuotaRequest(8, whole, whole, 0, 0, 0)
        self.assertEqual(self.grantor.request("a/1", renewal, 0.2).units, half)
        request = replace(request, number=2)
        self.assertEqual(self.grantor.request("b/1", request, 0.3).units, 0)
        confirmation = QuotaRequest(9, half, whole, 0, 0, 0)
        self.grantor.request("a/1", confirmation, 0.4)
        request = replace(request, number=3)
        self.assertEqual(self.grantor.request("b/1", request, 0.5).units, half)
