"""Parts of accounts' rates: never over the rate, soon where demand is."""

from dataclasses import replace
import random
import unittest

from tests.test_deployment import make_deployment
from wigeonford.peer import PartGrant
from wigeonford.policy import LeaseGrantor, LeaseRequest
from wigeonford.steer import AccountRates


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
        grantor.know_all(1.5)
        self.assertAlmostEqual(1.0, ask(grantor, "a", 2, 0.2, 0.5))


class AccountRatesTest(unittest.TestCase):
    """A VM spends its part and no more, also without a lease."""

    def setUp(self) -> None:
        account = make_deployment().accounts[0]
        self.account = replace(account, rate_per_s=100.0, burst=50.0)
        self.rates = AccountRates("vm")
        self.rates.follow({self.account.name: self.account}, 4)

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
            self.rates.requests({self.account.name: self.account}, 0.0)
        )
        grant = PartGrant(self.account.name, requests[0].number, 0.5)
        self.rates.accept(grant)
        count = self.admitted(0.0, 10.0)
        self.assertLessEqual(count, 0.5 * (1000 + 50) + 1)
        self.assertGreaterEqual(count, 0.5 * 1000 - 1)

    def test_refused_caller_learns_when_to_return(self) -> None:
        self.admitted(0.0, 0.95)
        after_s = self.rates.admit(self.account, 0.95)
        self.assertGreater(after_s, 0.0)
        again_s = 0.95 + after_s + 0.001
        self.assertEqual(0.0, self.rates.admit(self.account, again_s))
