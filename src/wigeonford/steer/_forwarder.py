"""Steer a request: route, account, target, attempts, answer."""

import asyncio
from collections.abc import Callable, Mapping
import random
import time
from typing import Final

from wigeonford.deployment import Account, Route
from wigeonford.errors import Code, RequestRefused
from wigeonford.errors import RunState as Ran
from wigeonford.events import Event, EventLog
from wigeonford.http import Response
from wigeonford.leases import AttemptBudget
from wigeonford.messages.steering import EntryStatus
from wigeonford.metrics import Metrics
from wigeonford.settings import RepeatBounds
from wigeonford.steer._admission import Admission
from wigeonford.steer._attempt import (
    Attempt,
    AttemptResult,
    Outcome,
    TargetLinks,
    UNSENT,
)
from wigeonford.steer._cold import ColdRateLimiter, ColdSenders
from wigeonford.steer._learning import Learning, Sent
from wigeonford.steer._loans import Loans
from wigeonford.steer._neighbours import Neighbours
from wigeonford.steer._placement import Choice, Placement, PlacementRequest
from wigeonford.steer._rates import AccountRates
from wigeonford.steer._request import SteerRequest
from wigeonford.steer._retry_after import retry_after_s, room_after_s
from wigeonford.steer._suspects import SuspectBook
from wigeonford.steer._target_book import TargetBook, TargetRecord
from wigeonford.steer._view import View
from wigeonford.steer._work import Work

ANSWER_LATE_S: Final = 0.1
"""How long after its deadline a request may still be answered; the way
back from a target in another region."""
REPEATS_USED: Final = 0.7
"""Part of the fleet's ratio of repeats that is used, since windows slide."""
RESERVE_USED: Final = 0.4
"""Part of the fleet's slack that the entry VMs' reserves add up to."""
MAX_UNREACHED: Final = 4
"""Targets that a request finds unreachable or gone before it is refused."""
LEAST_PATIENCE: Final = 0.25
"""Part of a warm request's duration that any request may wait; estimates
are no better."""


class Forwarder:
    """Answer requests through targets.

    All state is this VM's own; decisions are in the pure modules beside.
    """

    def __init__(
        self,
        status: Callable[[], EntryStatus],
        view: Callable[[], View | None],
        entries: Callable[[], Mapping[str, EntryStatus]],
        book: TargetBook,
        rates: AccountRates,
        loans: Loans,
        suspects: SuspectBook,
        links: TargetLinks,
        repeats: RepeatBounds,
        metrics: Metrics,
        log: EventLog,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._status = status
        self._view = view
        self._entries = entries
        self._book = book
        self._links = links
        self._admission = Admission(
            view, rates, loans, suspects, log, rng, clock
        )
        self._learning = Learning(book, links, suspects, metrics, log, clock)
        self._repeat_limits = repeats
        self._metrics = metrics
        self._log = log
        self._rng = rng
        self._clock = clock
        self._neighbours = Neighbours(status, entries, clock)
        self._placement = Placement()
        self._cold = ColdRateLimiter()
        self._wardens = ColdSenders(entries)
        self._repeats: dict[str, AttemptBudget] = {}

    def follow(self, view: View) -> None:
        """Forget what is kept of targets that a new view has not."""
        self._cold.remove(view.removed)

    async def forward(self, req: SteerRequest) -> Response:
        """Return a target's answer; raise `RequestRefused`."""
        began_s = self._clock()
        try:
            work = await self._admission.admit(req)
        except RequestRefused as exc:
            self._note_refused(req, None, exc)
            raise
        try:
            answer = await self._run(work)
        except RequestRefused as exc:
            self._note_refused(req, work, exc)
            raise
        except asyncio.CancelledError:
            self._log.emit(
                Event.REQUEST_FAILED,
                request=req.request_id,
                reason="the caller left",
                sent=work.sent,
            )
            raise
        self._metrics.observe_request(
            work.account.name if work.account else "",
            work.route.kind.value,
            self._clock() - began_s,
        )
        return answer

    def _note_refused(
        self, req: SteerRequest, work: Work | None, exc: RequestRefused
    ) -> None:
        account = work.account if work else None
        self._metrics.count_result(
            account.name if account else "", exc.code.number
        )
        view = self._view()
        self._log.emit(
            Event.REQUEST_FAILED,
            request=req.request_id,
            code=exc.code.number,
            reason=exc.code.name,
            detail=exc.detail,
            run=exc.run_state.value,
            retry_after_s=exc.retry_after_s,
            route=work.route.name if work else None,
            service=work.service if work else None,
            account=account.name if account else None,
            sent=work.sent if work else 0,
            tried=sorted(work.tried) if work else [],
            revision=view.revision if view else None,
            version=view.deployment.version if view else None,
            took_s=round(self._clock() - req.arrived_s, 3),
        )

    async def _run(self, work: Work) -> Response:
        self._repeats_of(work.service).earn()
        try:
            until_s = work.deadline_s + ANSWER_LATE_S - self._clock()
            async with asyncio.timeout(max(0.0, until_s)):
                while True:
                    answer = await self._try_once(work)
                    if answer is not None:
                        return answer
        except TimeoutError:
            raise self._timed_out(work) from None
        except RequestRefused as exc:
            if not work.under_way:
                raise
            # The caller broke its body off while a target had some of it.
            raise RequestRefused(
                exc.code, exc.detail, run_state=Ran.UNKNOWN
            ) from exc

    def _timed_out(self, work: Work) -> RequestRefused:
        if work.under_way or work.broken:
            return RequestRefused(Code.ANSWER_TIMEOUT, work.detail)
        return RequestRefused(
            Code.NO_CAPACITY, work.detail or "the time limit has passed"
        )

    async def _try_once(self, work: Work) -> Response | None:
        """Make an attempt; return the answer, None to try again."""
        choice = self._choose(work)
        if choice is None:
            raise self._refusal(work)
        record = choice.record
        began_s = self._clock()
        work.tried.add(record.target_id)
        was_warm = work.req.thing in record.warm_objects
        record.in_flight += 1
        sent = Sent(record, began_s, record.load(began_s), was_warm)
        if record.is_cold(began_s):
            self._cold.spend(record.target_id)
        self._log.emit(
            Event.REQUEST_PLACED,
            request=work.req.request_id,
            target=record.target_id,
            route=work.route.name,
            account=work.account_name,
            attempt=work.sent + work.unreached + 1,
            load=round(sent.load, 1),
            wait_s=round(choice.wait_s, 3),
            work_s=round(choice.work_s, 3),
            why=choice.role,
            revision=work.view.revision,
        )
        work.under_way = True
        try:
            result = await self._links.send(
                Attempt(
                    work.req,
                    record,
                    work.account_name,
                    work.body,
                    work.deadline_s,
                )
            )
        finally:
            record.in_flight -= 1
        work.under_way = False
        self._learning.learn(work, sent, result)
        return self._judge(work, record, result, began_s)

    def _choose(self, work: Work) -> Choice | None:
        now_s = self._clock()
        status = self._status()
        view = self._view() or work.view
        stats = self._learning.stats_of(work.route)
        homes = _homes_of(work.route, work.account)
        wish = PlacementRequest(
            work.service,
            work.req.thing or work.req.request_id,
            status.availability_zone,
            status.region,
            stats.size_bytes,
            stats.durations,
            self._patience_s(work, now_s),
            homes,
            frozenset(work.tried),
            self._neighbours.count(),
        )

        def may_use_cold(record: TargetRecord) -> bool:
            return self._may_use_cold(work, record, now_s)

        return self._placement.choose(
            self._book.targets_of(work.service),
            wish,
            view.evacuated,
            may_use_cold,
            now_s,
        )

    def _patience_s(self, work: Work, now_s: float) -> float:
        """Return how long a request may wait and still be of full use."""
        stats = self._learning.stats_of(work.route)
        used_s = now_s - work.req.arrived_s
        spare_s = work.route.objective_s - used_s - stats.warm_s
        return max(LEAST_PATIENCE * stats.warm_s, spare_s)

    def _may_use_cold(
        self, work: Work, record: TargetRecord, now_s: float
    ) -> bool:
        service = work.view.services.get(record.announced.service)
        name = self._status().name
        if service is None or not self._wardens.may_send(name, record, now_s):
            return False
        if service.cold_per_s <= 0:
            return True
        return self._cold.may_send(record.target_id, service.cold_per_s, now_s)

    def _judge(
        self,
        work: Work,
        record: TargetRecord,
        result: AttemptResult,
        began_s: float,
    ) -> Response | None:
        """Return the answer, None to try again; raise the refusal."""
        if result.outcome in UNSENT:
            work.unreached += 1
        else:
            work.sent += 1
        work.detail = f"{record.target_id}: {result.detail}"
        if result.outcome is Outcome.ANSWERED:
            assert result.answer is not None, "answered with an answer"
            self._log.emit(
                Event.REQUEST_ANSWERED,
                request=work.req.request_id,
                target=record.target_id,
                status=result.answer.status,
                took_s=round(self._clock() - began_s, 3),
                since_arrival_s=round(self._clock() - work.req.arrived_s, 3),
            )
            return result.answer
        if result.outcome is Outcome.BROKEN:
            work.broken = True
        self._log.emit(
            Event.ATTEMPT_FAILED,
            request=work.req.request_id,
            target=record.target_id,
            outcome=result.outcome.value,
            detail=result.detail,
            reused=result.reused,
            took_s=round(self._clock() - began_s, 3),
        )
        if not self._may_repeat(work, result):
            raise self._refusal(work)
        return None

    def _may_repeat(self, work: Work, result: AttemptResult) -> bool:
        """Tell whether another attempt is allowed and worth its budget."""
        if result.outcome in UNSENT:
            return work.unreached < MAX_UNREACHED
        if not isinstance(work.body, bytes):
            return False
        if result.outcome is Outcome.BROKEN and not (
            work.route.kind.is_idempotent
        ):
            return False
        if work.sent >= work.route.attempts:
            return False
        stats = self._learning.stats_of(work.route)
        if work.deadline_s - self._clock() < stats.warm_s:
            return False
        return self._repeats_of(work.service).spend()

    def _refusal(self, work: Work) -> RequestRefused:
        """Return the error for a request that gets no further attempt."""
        if work.broken:
            return RequestRefused(
                Code.ANSWER_BROKEN, work.detail, run_state=Ran.UNKNOWN
            )
        now_s = self._clock()
        records = self._book.targets_of(work.service)
        room_s = room_after_s(
            records, self._learning.stats_of(work.route).warm_s, now_s
        )
        code = Code.NO_CAPACITY if records else Code.NO_TARGET
        return RequestRefused(
            code,
            work.detail or f"{len(records)} targets",
            retry_after_s=retry_after_s(room_s, self._rng),
        )

    def _repeats_of(self, service: str) -> AttemptBudget:
        budget = self._repeats.get(service)
        if budget is None:
            limits = self._repeat_limits
            entries = max(1, len(self._entries()))
            reserve = max(1.0, limits.slack * RESERVE_USED / entries)
            budget = AttemptBudget(limits.ratio * REPEATS_USED, reserve)
            self._repeats[service] = budget
        return budget


def _homes_of(route: Route, account: Account | None) -> frozenset[str] | None:
    """Return the regions that route and account both allow; None for any."""
    homes = [set(route.home_regions)] if route.home_regions else []
    if account is not None and account.home_regions:
        homes.append(set(account.home_regions))
    if not homes:
        return None
    return frozenset(set.intersection(*homes))
