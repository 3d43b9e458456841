"""Leased quota fractions stay within the rate and follow the demand."""

import random
import unittest

from msgspec.structs import replace

from tests.test_deployment import make_deployment
from wigeonford.deployment import Account
from wigeonford.leases import (
    LeaseGrantor,
    LeaseRequest,
    pooled_fraction,
    TokenPool,
)
from wigeonford.messages.steering import QuotaLeaseGrant
from wigeonford.steer._quota_reporter import REPORT_INTERVAL_S
from wigeonford.steer._rates import AccountRates


def request_lease(
    grantor: LeaseGrantor, name: str, number: int, held: float, wanted: float
) -> float:
    """Return the granted amount; `number` is also the time in seconds."""
    request = LeaseRequest(name, number, held, wanted)
    return grantor.request(request, float(number)).amount


class SurplusTest(unittest.TestCase):
    """A surplus is granted too, and returned when another holder wants it."""

    def test_surplus_goes_by_wants(self) -> None:
        grantor = LeaseGrantor(1.0, 20.0, 0.0, takes_over=False, surplus=True)
        first = request_lease(grantor, "a", 1, 0.0, 0.1)
        self.assertEqual(1.0, first)
        request_lease(grantor, "b", 2, 0.0, 0.3)
        lowered = request_lease(grantor, "a", 3, first, 0.1)
        self.assertAlmostEqual(0.25, lowered)
        self.assertEqual(0.0, request_lease(grantor, "b", 4, 0.0, 0.3))
        request_lease(grantor, "a", 5, lowered, 0.1)
        self.assertAlmostEqual(0.75, request_lease(grantor, "b", 6, 0.0, 0.3))

    def test_random_holders_never_exceed_the_capacity(self) -> None:
        rng = random.Random(3)
        grantor = LeaseGrantor(
            1.0, 1000.0, 0.0, takes_over=False, surplus=True
        )
        held = dict.fromkeys("abcdef", 0.0)
        for number in range(1, 800):
            name = rng.choice("abcdef")
            held[name] = request_lease(
                grantor, name, number, held[name], rng.random()
            )
            self.assertLessEqual(sum(held.values()), 1.0 + 1e-9)

    def test_new_grantor_gives_anew_what_is_given_back(self) -> None:
        grantor = LeaseGrantor(1.0, 20.0, 0.0, surplus=True)
        self.assertAlmostEqual(0.4, request_lease(grantor, "a", 1, 0.4, 0.4))
        self.assertEqual(0.0, request_lease(grantor, "b", 2, 0.0, 0.4))
        lowered = request_lease(grantor, "a", 3, 0.4, 0.1)
        self.assertLess(lowered, 0.4)
        request_lease(grantor, "a", 4, lowered, 0.1)
        raised = request_lease(grantor, "b", 5, 0.0, 0.4)
        self.assertGreater(raised, 0.2)
        self.assertLessEqual(lowered + raised, 0.4 + 1e-9)

    def test_all_heard_ends_the_wait(self) -> None:
        grantor = LeaseGrantor(1.0, 20.0, 0.0, surplus=True)
        request_lease(grantor, "a", 1, 0.2, 0.5)
        grantor.end_takeover(1.5)
        self.assertAlmostEqual(1.0, request_lease(grantor, "a", 2, 0.2, 0.5))


class AccountRatesTest(unittest.TestCase):
    """A VM admits no more than its quota fraction, also without a lease."""

    def setUp(self) -> None:
        account = make_deployment().accounts[0]
        self.account = replace(account, rate_per_s=100.0, burst=50.0)
        self.rates = AccountRates("vm")
        self.rates.update_accounts({self.account.name: self.account}, 4)

    def count_admitted(self, start_s: float, seconds: float) -> int:
        """Return how many of 1000 requests per second are admitted."""
        steps = int(seconds * 1000)
        return sum(
            self.rates.admit(self.account, start_s + step / 1000) == 0
            for step in range(steps)
        )

    def test_unleased_vms_share_a_small_part(self) -> None:
        self.assertLessEqual(
            self.count_admitted(0.0, 10.0), 0.2 / 4 * 1000 + 5
        )

    def test_leased_part_is_spent(self) -> None:
        requests = list(
            self.rates.build_requests({self.account.name: self.account}, 0.0)
        )
        grant = QuotaLeaseGrant(self.account.name, requests[0].number, 0.5)
        self.rates.apply_grant(grant)
        count = self.count_admitted(0.0, 10.0)
        self.assertLessEqual(count, 0.5 * (1000 + 50) + 1)
        self.assertGreaterEqual(count, 0.5 * 1000 - 1)

    def test_refused_caller_learns_when_to_return(self) -> None:
        self.count_admitted(0.0, 0.95)
        retry_after_s = self.rates.admit(self.account, 0.95)
        self.assertGreater(retry_after_s, 0.0)
        retry_at_s = 0.95 + retry_after_s + 0.001
        self.assertEqual(0.0, self.rates.admit(self.account, retry_at_s))


VM_COUNT = 70
"""Entry VMs of the largest deployment known."""
WINDOW_S = 5.0
SLACK_REQUESTS = 20.0
"""Requests by which the users let a fleet exceed a rate in a window."""


class SparseAccountTest(unittest.TestCase):
    """Simulate an account with requests spread over many entry VMs."""

    def setUp(self) -> None:
        self.account = replace(
            make_deployment().accounts[0], rate_per_s=13.0, burst=13.0
        )

    def simulate(
        self, demand_per_s: float, *, can_borrow: bool, seconds: float = 60.0
    ) -> tuple[list[float], float]:
        """Return the times of admitted requests, and the fraction admitted."""
        rng = random.Random(7)
        fleet = [
            AccountRates(str(index), SLACK_REQUESTS)
            for index in range(VM_COUNT)
        ]
        pool = TokenPool(0.0)
        pool_fraction = pooled_fraction(self.account.rate_per_s, VM_COUNT)
        grantor = LeaseGrantor(
            1.0 - pool_fraction, 20.0, 0.0, takes_over=False, surplus=True
        )
        next_report_s = [rng.uniform(0.0, REPORT_INTERVAL_S) for _ in fleet]
        for rates in fleet:
            rates.leader_connected = can_borrow
            rates.update_accounts({self.account.name: self.account}, VM_COUNT)
            if not can_borrow:
                self._lease(rates, 1.0 / VM_COUNT)
        admitted: list[float] = []
        request_count = 0
        now_s = rng.expovariate(demand_per_s)
        while now_s < seconds:
            request_count += 1
            for index, rates in enumerate(fleet):
                if can_borrow and next_report_s[index] <= now_s:
                    next_report_s[index] = now_s + REPORT_INTERVAL_S
                    self._report(rates, str(index), grantor, now_s)
            retry_after_s = rng.choice(fleet).admit(self.account, now_s)
            if retry_after_s > 0 and can_borrow:
                free_fraction = 1.0 - grantor.granted(now_s)
                retry_after_s = self._borrow(pool, free_fraction, now_s)
            if retry_after_s == 0:
                admitted.append(now_s)
            now_s += rng.expovariate(demand_per_s)
        return admitted, len(admitted) / request_count

    def _report(
        self,
        rates: AccountRates,
        name: str,
        grantor: LeaseGrantor,
        now_s: float,
    ) -> None:
        accounts = {self.account.name: self.account}
        for ask in rates.build_requests(accounts, now_s):
            request = LeaseRequest(name, ask.number, ask.held, ask.wanted)
            amount = grantor.request(request, now_s).amount
            rates.apply_grant(QuotaLeaseGrant(ask.account, ask.number, amount))

    def _lease(self, rates: AccountRates, fraction: float) -> None:
        accounts: dict[str, Account] = {
            self.account.name: replace(self.account, rate_per_s=1e6)
        }
        request = next(rates.build_requests(accounts, 0.0))
        rates.apply_grant(
            QuotaLeaseGrant(self.account.name, request.number, fraction)
        )

    def _borrow(self, pool: TokenPool, fraction: float, now_s: float) -> float:
        pool.resize(
            self.account.rate_per_s, self.account.burst, fraction, now_s
        )
        lent, retry_after_s = pool.lend(1, now_s)
        return 0.0 if lent else retry_after_s

    def test_demand_below_the_pool_is_served(self) -> None:
        demand_per_s = 0.7 * self.account.rate_per_s
        _, served_alone = self.simulate(
            demand_per_s, can_borrow=False, seconds=18.0
        )
        _, served = self.simulate(demand_per_s, can_borrow=True)
        self.assertLess(served_alone, 0.75)
        self.assertGreater(served, 0.97)

    def test_nearly_all_of_a_rate_can_be_used(self) -> None:
        self.account = replace(self.account, rate_per_s=100.0, burst=100.0)
        _, served = self.simulate(95.0, can_borrow=True)
        self.assertGreater(served, 0.98)

    def test_overload_stays_within_the_rules(self) -> None:
        account = self.account
        max_admitted = (
            1.1 * (account.rate_per_s * WINDOW_S + account.burst)
            + SLACK_REQUESTS
        )
        admitted, _ = self.simulate(6 * account.rate_per_s, can_borrow=True)
        for index, at_s in enumerate(admitted):
            window = sum(
                other_s <= at_s + WINDOW_S
                for other_s in admitted[index : index + 200]
            )
            self.assertLessEqual(window, max_admitted)

    def test_empty_pool_tells_when_a_token_comes(self) -> None:
        pool = TokenPool(0.0)
        pool.resize(10.0, 5.0, 0.5, 0.0)
        self.assertEqual((0, 0.2), pool.lend(1, 0.0))
        self.assertEqual(1, pool.lend(1, 0.21)[0])

    def test_busy_accounts_are_hardly_pooled(self) -> None:
        self.assertLess(pooled_fraction(1000.0, 10), 0.02)
        self.assertGreater(pooled_fraction(13.0, VM_COUNT), 0.8)
