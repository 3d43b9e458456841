"""Fair queueing: an account that floods the queue delays no others."""

import asyncio
import random
import time
import unittest

from wigeonford.entry import DispatchGate
from wigeonford.errors import Code, RequestRejected
from wigeonford.model import RequestClass
from wigeonford.policy import FairQueue

INTERACTIVE = RequestClass.INTERACTIVE
BULK = RequestClass.BULK
FAR_DEADLINE_S = 1e9


class FairQueueTest(unittest.TestCase):
    """Order items by weight, class and deadline."""

    def setUp(self) -> None:
        self.queue: FairQueue[str] = FairQueue(40)

    def push(
        self,
        account: str,
        count: int = 1,
        weight: float = 1.0,
        request_class: RequestClass = INTERACTIVE,
        deadline_s: float = FAR_DEADLINE_S,
    ) -> list[str | None]:
        return [
            self.queue.push(
                account, account, request_class, weight, deadline_s
            )
            for _ in range(count)
        ]

    def pop(self, count: int) -> str:
        return "".join(self.queue.pop() or "-" for _ in range(count))

    def test_newcomer_waits_for_one_turn_of_a_flood(self) -> None:
        self.push("f", 30)
        self.assertEqual(self.pop(5), "fffff")
        self.push("a", 2)
        self.assertIn("a", self.pop(2))
        self.assertIn("a", self.pop(2))

    def test_turns_follow_weights(self) -> None:
        self.push("a", 15, weight=3.0)
        self.push("b", 15, weight=1.0)
        served = self.pop(16)
        self.assertEqual((served.count("a"), served.count("b")), (12, 4))

    def test_idle_account_saves_up_no_turns(self) -> None:
        self.push("a", 20)
        self.pop(10)
        self.push("b", 10)
        served = self.pop(10)
        self.assertLessEqual(abs(served.count("a") - served.count("b")), 1)

    def test_bulk_gets_its_part_and_no_more(self) -> None:
        self.push("b", 20, request_class=BULK)
        self.push("i", 20)
        self.assertEqual(self.pop(20).count("b"), 4)
        self.assertEqual(self.pop(20).count("b"), 16)
        self.assertEqual(self.pop(1), "-")

    def test_full_queue_drops_the_flood(self) -> None:
        self.push("a", 3)
        dropped = self.push("f", 60)
        self.assertEqual({item for item in dropped if item}, {"f"})
        self.assertEqual(len(self.queue), 40)
        self.assertEqual(self.push("b"), ["f"])

    def test_late_items_leave_wherever_they_wait(self) -> None:
        self.push("a", 2)
        self.push("a", 1, deadline_s=1.0)
        self.push("b", 1, request_class=BULK, deadline_s=2.0)
        self.assertEqual(list(self.queue.expire(1.5)), ["a"])
        self.assertEqual(list(self.queue.expire(2.0)), ["b"])
        self.assertEqual(self.pop(3), "aa-")


class FloodTest(unittest.TestCase):
    """Run one slot in virtual time while an account floods the queue."""

    def test_each_account_fares_as_with_a_slower_slot_of_its_own(self) -> None:
        rng = random.Random(5)
        queue: FairQueue[tuple[str, int]] = FairQueue(1000)
        free_at_step = dict.fromkeys("abcf", 0)
        served_counts: dict[str, int] = dict.fromkeys("abcf", 0)
        for step in range(20_000):
            arrivals = [name for name in "abc" if rng.random() < 0.22]
            for account in [*arrivals, "f", "f"]:
                # The start on a dedicated slot of a quarter of the speed.
                start_step = max(step, free_at_step[account])
                free_at_step[account] = start_step + len(free_at_step)
                item = account, start_step
                queue.push(item, account, INTERACTIVE, 1.0, FAR_DEADLINE_S)
            served = queue.pop()
            assert served is not None, "the flooding account always has items"
            account, start_step = served
            served_counts[account] += 1
            self.assertLessEqual(step + 1, start_step + len(free_at_step))
        for account in "abc":
            self.assertAlmostEqual(served_counts[account], 4400, delta=150)


class DispatchGateTest(unittest.IsolatedAsyncioTestCase):
    """Grant and release slots, even if a waiting caller is cancelled."""

    async def asyncSetUp(self) -> None:
        self.gate = DispatchGate(lambda _: 1)
        self.deadline_s = time.monotonic() + 60

    async def run_one(self, account: str, order: list[str]) -> None:
        async with self.gate.slot(
            "s", account, INTERACTIVE, 1.0, self.deadline_s
        ):
            order.append(account)
            await asyncio.sleep(0)

    async def test_slots_bound_what_runs(self) -> None:
        order: list[str] = []
        await asyncio.gather(
            *(self.run_one("f", order) for _ in range(20)),
            *(self.run_one("a", order) for _ in range(3)),
        )
        self.assertEqual(len(order), 23)
        self.assertEqual(order[:7].count("a"), 3)

    async def test_cancelled_waiter_leaves_no_slot_behind(self) -> None:
        order: list[str] = []
        held_slot = await self.gate.acquire(
            "s", "x", INTERACTIVE, 1.0, self.deadline_s
        )
        waiter = asyncio.create_task(self.run_one("a", order))
        granted_waiter = asyncio.create_task(self.run_one("b", order))
        await asyncio.sleep(0)
        waiter.cancel()
        await asyncio.sleep(0)
        held_slot.release()
        held_slot.release()
        granted_waiter.cancel()
        await asyncio.gather(waiter, granted_waiter, return_exceptions=True)
        await self.run_one("c", order)
        self.assertEqual(order, ["c"])

    async def test_deadline_is_answered_while_the_slot_is_held(self) -> None:
        async with self.gate.slot("s", "x", INTERACTIVE, 1.0, self.deadline_s):
            with self.assertRaises(RequestRejected) as caught:
                await self.gate.acquire(
                    "s", "a", INTERACTIVE, 1.0, time.monotonic() + 0.1
                )
        self.assertIs(caught.exception.code, Code.DEADLINE_EXCEEDED)
