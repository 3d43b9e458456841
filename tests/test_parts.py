"""Parts of accounts' rates: never over the rate, soon where demand is."""

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


def ask(
    grantor: LeaseGrantor, name: str, number: int, held: float, wanted: float
) -> float:
    """Return what a holder is granted at a time of its own."""
    request = LeaseRequest(name, number, held, wanted)
    return grantor.request(request, float(number)).amount


class SurplusTest(unittest.TestCase):
    """What nobody wants is granted too, and given back in time."""

    def test_surplus_goes_by_wants(self) -> None:
        grantor = LeaseGrantor(1.0, 20.0, 0.0, takes_over=False, surplus=True)
        first = ask(grantor, "a", 1, 0.0, 0.1)
        self.assertEqual(1.0, first)
        ask(grantor, "b", 2, 0.0, 0.3)
        lowered = ask(grantor, "a", 3, first, 0.1)
        self.assertAlmostEqual(0.25, lowered)
        self.assertEqual(0.0, ask(grantor, "b", 4, 0.0, 0.3))
        ask(grantor, "a", 5, lowered, 0.1)
        self.assertAlmostEqual(0.75, ask(grantor, "b", 6, 0.0, 0.3))

    def test_random_holders_never_exceed_the_capacity(self) -> None:
        rng = random.Random(3)
        grantor = LeaseGrantor(
            1.0, 1000.0, 0.0, takes_over=False, surplus=True
        )
        held = dict.fromkeys("abcdef", 0.0)
        for number in range(1, 800):
            name = rng.choice("abcdef")
            held[name] = ask(grantor, name, number, held[name], rng.random())
            self.assertLessEqual(sum(held.values()), 1.0 + 1e-9)

    def test_new_grantor_gives_anew_what_is_given_back(self) -> None:
        grantor = LeaseGrantor(1.0, 20.0, 0.0, surplus=True)
        self.assertAlmostEqual(0.4, ask(grantor, "a", 1, 0.4, 0.4))
        self.assertEqual(0.0, ask(grantor, "b", 2, 0.0, 0.4))
        lowered = ask(grantor, "a", 3, 0.4, 0.1)
        self.assertLess(lowered, 0.4)
        ask(grantor, "a", 4, lowered, 0.1)
        raised = ask(grantor, "b", 5, 0.0, 0.4)
        self.assertGreater(raised, 0.2)
        self.assertLessEqual(lowered + raised, 0.4 + 1e-9)

    def test_all_heard_ends_the_wait(self) -> None:
        grantor = LeaseGrantor(1.0, 20.0, 0.0, surplus=True)
        ask(grantor, "a", 1, 0.2, 0.5)
        grantor.end_takeover(1.5)
        self.assertAlmostEqual(1.0, ask(grantor, "a", 2, 0.2, 0.5))


class AccountRatesTest(unittest.TestCase):
    """A VM spends its part and no more, also without a lease."""

    def setUp(self) -> None:
        account = make_deployment().accounts[0]
        self.account = replace(account, rate_per_s=100.0, burst=50.0)
        self.rates = AccountRates("vm")
        self.rates.update_accounts({self.account.name: self.account}, 4)

    def admitted(self, begin_s: float, seconds: float) -> int:
        """Return how many of many requests are admitted."""
        steps = int(seconds * 1000)
        return sum(
            self.rates.admit(self.account, begin_s + step / 1000) == 0
            for step in range(steps)
        )

    def test_unleased_vms_share_a_small_part(self) -> None:
        self.assertLessEqual(self.admitted(0.0, 10.0), 0.2 / 4 * 1000 + 5)

    def test_leased_part_is_spent(self) -> None:
        requests = list(
            self.rates.build_requests({self.account.name: self.account}, 0.0)
        )
        grant = QuotaLeaseGrant(self.account.name, requests[0].number, 0.5)
        self.rates.apply_grant(grant)
        count = self.admitted(0.0, 10.0)
        self.assertLessEqual(count, 0.5 * (1000 + 50) + 1)
        self.assertGreaterEqual(count, 0.5 * 1000 - 1)

    def test_refused_caller_learns_when_to_return(self) -> None:
        self.admitted(0.0, 0.95)
        after_s = self.rates.admit(self.account, 0.95)
        self.assertGreater(after_s, 0.0)
        again_s = 0.95 + after_s + 0.001
        self.assertEqual(0.0, self.rates.admit(self.account, again_s))


VMS = 70
"""Entry VMs of the largest deployment known."""
WINDOW_S = 5.0
SLACK = 20.0
"""What the users' rules let a fleet run over in a window."""


class SparseAccountTest(unittest.TestCase):
    """Play an account whose requests are spread over many entry VMs."""

    def setUp(self) -> None:
        self.account = replace(
            make_deployment().accounts[0], rate_per_s=13.0, burst=13.0
        )

    def play(
        self, demand_per_s: float, *, borrows: bool, seconds: float = 60.0
    ) -> tuple[list[float], float]:
        """Return when requests were admitted, and the part that was."""
        rng = random.Random(7)
        fleet = [AccountRates(str(index), SLACK) for index in range(VMS)]
        pool = TokenPool(0.0)
        part = pooled_fraction(self.account.rate_per_s, VMS)
        grantor = LeaseGrantor(
            1.0 - part, 20.0, 0.0, takes_over=False, surplus=True
        )
        report_s = [rng.uniform(0.0, REPORT_INTERVAL_S) for _ in fleet]
        for rates in fleet:
            rates.leader_connected = borrows
            rates.update_accounts({self.account.name: self.account}, VMS)
            if not borrows:
                self._lease(rates, 1.0 / VMS)
        admitted: list[float] = []
        asked = 0
        now_s = rng.expovariate(demand_per_s)
        while now_s < seconds:
            asked += 1
            for index, rates in enumerate(fleet):
                if borrows and report_s[index] <= now_s:
                    report_s[index] = now_s + REPORT_INTERVAL_S
                    self._report(rates, str(index), grantor, now_s)
            after_s = rng.choice(fleet).admit(self.account, now_s)
            if after_s > 0 and borrows:
                free = 1.0 - grantor.granted(now_s)
                after_s = self._borrow(pool, free, now_s)
            if after_s == 0:
                admitted.append(now_s)
            now_s += rng.expovariate(demand_per_s)
        return admitted, len(admitted) / asked

    def _report(
        self,
        rates: AccountRates,
        name: str,
        grantor: LeaseGrantor,
        now_s: float,
    ) -> None:
        accounts = {self.account.name: self.account}
        for ask_ in rates.build_requests(accounts, now_s):
            request = LeaseRequest(name, ask_.number, ask_.held, ask_.wanted)
            amount = grantor.request(request, now_s).amount
            rates.apply_grant(
                QuotaLeaseGrant(ask_.account, ask_.number, amount)
            )

    def _lease(self, rates: AccountRates, part: float) -> None:
        accounts: dict[str, Account] = {
            self.account.name: replace(self.account, rate_per_s=1e6)
        }
        request = next(rates.build_requests(accounts, 0.0))
        rates.apply_grant(
            QuotaLeaseGrant(self.account.name, request.number, part)
        )

    def _borrow(self, pool: TokenPool, part: float, now_s: float) -> float:
        pool.resize(self.account.rate_per_s, self.account.burst, part, now_s)
        lent, after_s = pool.lend(1, now_s)
        return 0.0 if lent else after_s

    def test_demand_below_the_pool_is_served(self) -> None:
        demand_per_s = 0.7 * self.account.rate_per_s
        _, alone = self.play(demand_per_s, borrows=False, seconds=18.0)
        _, served = self.play(demand_per_s, borrows=True)
        self.assertLess(alone, 0.75)
        self.assertGreater(served, 0.97)

    def test_nearly_all_of_a_rate_can_be_used(self) -> None:
        self.account = replace(self.account, rate_per_s=100.0, burst=100.0)
        _, served = self.play(95.0, borrows=True)
        self.assertGreater(served, 0.98)

    def test_overload_stays_within_the_rules(self) -> None:
        account = self.account
        most = 1.1 * (account.rate_per_s * WINDOW_S + account.burst) + SLACK
        admitted, _ = self.play(6 * account.rate_per_s, borrows=True)
        for index, at_s in enumerate(admitted):
            window = sum(
                at <= at_s + WINDOW_S for at in admitted[index : index + 200]
            )
            self.assertLessEqual(window, most)

    def test_empty_pool_tells_when_a_token_comes(self) -> None:
        pool = TokenPool(0.0)
        pool.resize(10.0, 5.0, 0.5, 0.0)
        self.assertEqual((0, 0.2), pool.lend(1, 0.0))
        self.assertEqual(1, pool.lend(1, 0.21)[0])

    def test_busy_accounts_are_hardly_pooled(self) -> None:
        self.assertLess(pooled_fraction(1000.0, 10), 0.02)
        self.assertGreater(pooled_fraction(13.0, VMS), 0.8)
