"""All entry VMs together never use more slots than a target has."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule, RuleBasedStateMachine

from wigeonford.model import Side
from wigeonford.policy import (
    divide_slots,
    owner_of,
    slot_pool,
    SLOT_TERM_S,
    SlotGrantor,
    SlotHolder,
    SlotReply,
    SlotRequest,
    TargetOffer,
)

HOLDERS = ("a", "b", "c")
SLOTS = {"t1": 3, "t2": 4}
POOL = slot_pool("catalogue")
CONFIG_WAIT_S = 4.0


def _offer(target_id: str, sequence: int = 1) -> TargetOffer:
    slots = SLOTS[target_id]
    return TargetOffer(target_id, "catalogue", Side.NEW, slots, sequence)


class SlotMachine(RuleBasedStateMachine):
    """Lose, delay and duplicate messages; move targets to a new owner."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.grantor = SlotGrantor(SLOT_TERM_S, CONFIG_WAIT_S)
        for target_id in SLOTS:
            self.grantor.add_target(_offer(target_id), self.now_s, is_new=True)
        self.holders = {n: SlotHolder(n, SLOT_TERM_S) for n in HOLDERS}
        self.requests: list[SlotRequest] = []
        self.replies: list[tuple[str, SlotReply]] = []
        self.running_requests: list[tuple[str, str, float]] = []

    def _next_request(
        self, name: str, *, recalled: bool = False
    ) -> SlotRequest:
        holder = self.holders[name]
        return holder.next_request(
            lambda _: True, (), self.now_s, recalled=recalled
        )

    @rule(name=st.sampled_from(HOLDERS), recalled=st.booleans())
    def exchange(self, name: str, recalled: bool) -> None:
        request = self._next_request(name, recalled=recalled)
        reply = self.grantor.request(request, self.now_s)
        self.holders[name].accept(reply, self.now_s)

    @rule(name=st.sampled_from(HOLDERS))
    def lose_or_delay_request(self, name: str) -> None:
        self.requests.append(self._next_request(name))

    @rule(data=st.data())
    def deliver_request(self, data: st.DataObject) -> None:
        if self.requests:
            request = data.draw(st.sampled_from(self.requests))
            reply = self.grantor.request(request, self.now_s)
            self.replies.append((request.holder, reply))

    @rule(data=st.data())
    def deliver_reply(self, data: st.DataObject) -> None:
        if self.replies:
            name, reply = data.draw(st.sampled_from(self.replies))
            self.holders[name].accept(reply, self.now_s)

    @rule(name=st.sampled_from(HOLDERS))
    def begin_request(self, name: str) -> None:
        self.holders[name].add_demand(POOL, self.now_s)
        offer = self.holders[name].acquire(POOL, (), self.now_s)
        if offer is None:
            self.holders[name].end_demand(POOL, self.now_s)
            return
        assert self.holders[name].within_lease(offer.target_id, self.now_s)
        self.running_requests.append((name, offer.target_id, self.now_s))

    @rule(data=st.data())
    def end_request(self, data: st.DataObject) -> None:
        if self.running_requests:
            self._end_request(
                data.draw(st.sampled_from(self.running_requests))
            )

    def _end_request(self, request: tuple[str, str, float]) -> None:
        self.running_requests.remove(request)
        self.holders[request[0]].release(request[1])
        self.holders[request[0]].end_demand(POOL, self.now_s)

    @rule(seconds=st.sampled_from((0.1, 1.0, 2.0)))
    def wait(self, seconds: float) -> None:
        # More slots than a target has are in use only if a request outlives
        # its lease while the owner is unreachable. Here all requests end
        # before the time advances.
        for request in list(self.running_requests):
            self._end_request(request)
        self.now_s += seconds
        for holder in self.holders.values():
            holder.forget_idle(self.now_s)

    @rule()
    def change_owner(self) -> None:
        self.grantor = SlotGrantor(SLOT_TERM_S, CONFIG_WAIT_S)
        for target_id in SLOTS:
            self.grantor.add_target(
                _offer(target_id), self.now_s, is_new=False
            )
        self.requests.clear()

    @rule()
    def hand_over(self) -> None:
        earlier_grantor, self.grantor = (
            self.grantor,
            SlotGrantor(SLOT_TERM_S, CONFIG_WAIT_S),
        )
        for target_id in SLOTS:
            held = earlier_grantor.release_target(target_id, self.now_s)
            if held is None:
                self.grantor.add_target(
                    _offer(target_id), self.now_s, is_new=False
                )
            else:
                self.grantor.adopt_target(_offer(target_id), held, self.now_s)
                assert self.grantor.owned(), "the new owner adopts the target"
        self.requests.clear()

    @invariant()
    def slots_are_not_exceeded(self) -> None:
        for target_id, slots in SLOTS.items():
            used = sum(h.in_use(target_id) for h in self.holders.values())
            assert used <= slots, (
                f"{used} of {slots} slots of {target_id} are in use"
            )


SlotMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)
SlotTest = SlotMachine.TestCase


def _lease_slots(
    holder: SlotHolder, grantor: SlotGrantor, now_s: float
) -> None:
    for _ in range(3):
        request = holder.next_request(lambda _: True, (), now_s)
        holder.accept(grantor.request(request, now_s), now_s)


class HandOverTest(unittest.TestCase):
    """Slots are granted by demand, and none of a target that left."""

    def setUp(self) -> None:
        self.grantor = SlotGrantor(SLOT_TERM_S, CONFIG_WAIT_S)
        for target_id in SLOTS:
            self.grantor.add_target(_offer(target_id), 0.0, is_new=True)
        self.holders = [SlotHolder(n, SLOT_TERM_S) for n in HOLDERS]

    def test_idle_slots_are_recalled_for_who_waits(self) -> None:
        first, second, _ = self.holders
        for _ in range(7):
            first.add_demand(POOL, 10.0)
        _lease_slots(first, self.grantor, 10.0)
        self.assertEqual(first.available(POOL, 10.0), 7)
        for _ in range(7):
            first.end_demand(POOL, 10.0)
        second.add_demand(POOL, 10.0)
        request = second.next_request(lambda _: True, (), 10.0)
        second.accept(self.grantor.request(request, 10.0), 10.0)
        request = second.next_request(lambda _: True, (), 10.0)
        second.accept(self.grantor.request(request, 10.0), 10.0)
        self.assertEqual(self.grantor.holders_to_recall(request, 10.0), {"a"})
        release_request = first.next_request(
            lambda _: True, (), 10.0, recalled=True
        )
        first.accept(self.grantor.request(release_request, 10.0), 10.0)
        self.assertEqual(
            self.grantor.holders_to_notify(release_request), {"b"}
        )
        _lease_slots(second, self.grantor, 10.0)
        self.assertEqual(second.available(POOL, 10.0), 1)

    def test_leaving_target_is_not_revived_by_a_late_offer(self) -> None:
        holder = self.holders[0]
        holder.add_demand(POOL, 10.0)
        _lease_slots(holder, self.grantor, 10.0)
        late_reply = self.grantor.request(
            SlotRequest(
                "x", holder.next_request(lambda _: True, (), 10.0).wants, ()
            ),
            10.0,
        )
        for target_id in SLOTS:
            holder.remove_target(target_id, 5, 10.0)
        holder.accept(late_reply, 10.0)
        self.assertIsNone(holder.acquire(POOL, (), 10.0))
        self.assertTrue(holder.is_gone("t1"))
        newer_reply = SlotReply((), (_offer("t1", 6),))
        self.assertTrue(holder.accept(newer_reply, 10.0))
        self.assertFalse(holder.is_gone("t1"))

    def test_headroom_and_warm_up_bound_grants(self) -> None:
        self.grantor.headroom = 0.3
        for holder in self.holders:
            for _ in range(9):
                holder.add_demand(POOL, 10.0)
            _lease_slots(holder, self.grantor, 10.0)
        self.assertEqual(self.grantor.granted(10.0), 4)
        cold_grantor = SlotGrantor(SLOT_TERM_S, CONFIG_WAIT_S)
        cold_grantor.add_target(_offer("t2"), 10.0, is_new=True)
        _lease_slots(self.holders[0], cold_grantor, 10.0)
        self.assertEqual(cold_grantor.granted(10.0), 1)

    def test_parts_follow_demand(self) -> None:
        self.assertEqual(divide_slots(9, {"a": 2, "b": 3}), {"a": 2, "b": 3})
        self.assertEqual(divide_slots(4, {"a": 6, "b": 2}), {"a": 3, "b": 1})

    def test_owner_moves_only_from_the_member_that_left(self) -> None:
        members = [f"vm-{number}" for number in range(10)]
        targets = [f"10.0.0.{number}:80" for number in range(300)]
        before = {t: owner_of(t, members) for t in targets}
        after = {t: owner_of(t, members[1:]) for t in targets}
        moved = {t for t in targets if before[t] != after[t]}
        self.assertEqual(moved, {t for t in targets if before[t] == "vm-0"})
