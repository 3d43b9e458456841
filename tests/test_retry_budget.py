"""The reserves of retry budgets add up to the fleet's, by the roster."""

import unittest

from tests.test_planned_stop import STATUS, StoppingVm
from tests.virtual_time import run_virtual
from wigeonford.settings import RetryBounds

VM_COUNT = 70
SERVICE = "ledger"


class RetryReserveTest(unittest.TestCase):
    """The roster becomes complete after a VM's first request."""

    async def count_retries(self) -> int:
        """Return how many retries a VM of many allows without requests."""
        vm = StoppingVm(6.0, 0.5)
        forwarder = vm.forwarder
        forwarder._retry_budget_of(SERVICE).earn()
        forwarder._entries = lambda: {
            f"vm-{number}": STATUS for number in range(VM_COUNT)
        }
        budget = forwarder._retry_budget_of(SERVICE)
        count = 0
        while budget.spend():
            count += 1
        return count

    def test_reserve_falls_as_the_roster_grows(self) -> None:
        count = run_virtual(self.count_retries())
        self.assertLessEqual(count, max(1, RetryBounds().slack / VM_COUNT))
