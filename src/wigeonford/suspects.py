"""Requests that crash the targets which run them: pure.

A VM sees only how its own attempts end, so it keeps which requests are in
flight at each target, or were given up a moment ago. A crash of a target
counts against all of these, and a complete response clears a request of all
earlier crashes. VMs exchange these observations, and those that hold the same
ones decide alike. Times are on the clock of the process that holds them.

A request with one crash may be tried by one VM at a time. After more, it is
rejected for a pause that grows with each crash, and tried once then: an
innocent one is cleared within seconds, and a guilty one crashes few more
targets. Callers return together at the end of a pause, so from the third
crash on a VM claims the trial and waits until all VMs know of it; of claims at
the same time one precedes the others on all VMs.
"""

from collections import deque
from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Iterator,
    Mapping,
)
import hashlib
from typing import Final

import msgspec

from wigeonford.messages.steering import SuspectKind, SuspectRecord

CRASHES_TO_QUARANTINE: Final = 2
"""Crashes after which a request waits before it is tried again."""
CRASHES_TO_EXPLAIN: Final = 3
"""Crashes of one request that no longer count against the others that were in
flight there. With fewer, it may itself be the innocent one."""
FIRST_PAUSE_S: Final = 2.0
"""Pause after the second crash; an innocent request waits no longer."""
PAUSE_GROWTH: Final = 4.0
"""Factor from one pause to the next."""
MAX_PAUSE_S: Final = 600.0
TRIAL_S: Final = 1.5
"""How long a trial keeps others from trying the same request; longer than most
requests take."""
CRASHES_TO_CLAIM: Final = 3
"""Crashes after which a trial is claimed first."""
CLAIM_S: Final = 0.4
"""Time until all VMs know of a claim, over links between regions."""
SUSPICION_S: Final = 60.0
"""How long a crash counts at least; callers repeat a request for less."""
MAX_SUSPECTS: Final = 4096
MAX_FINGERPRINTS_PER_CRASH: Final = 64
"""Requests that a VM counts a crash against at most; a target's slots and
queue hold fewer."""
EVICTED_FRACTION: Final = 0.25
"""Fraction of a full table that is dropped, those with the fewest crashes
first: a caller that makes many suspects must not free a request that crashed
several targets."""
EXPIRY_INTERVAL_S: Final = 1.0
ABANDONED_S: Final = 2.0
"""How long a target may still run a request whose connection was closed
before its result."""
MAX_FLIGHT_S: Final = 600.0
"""Longest time limit of a route; an attempt whose end was missed is dropped
after it."""
SWEEP_INTERVAL_S: Final = 1.0
MAX_OWN_OBSERVATIONS: Final = 1024
"""Observations kept for replicas that have not got them; they are sent within
a second."""
MAX_AGE_MS: Final = 10**9
MAX_NAME_CHARS: Final = 300
MAX_FINGERPRINT_BYTES: Final = 32

_NEVER_S: Final = float("-inf")


def request_fingerprint(
    account: str, method: str, path: str, distinct: bytes
) -> bytes:
    """Return a digest that is the same for all retries of a request.

    `distinct` is the request's idempotency key or else its body.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (account.encode(), method.encode(), path.encode(), distinct):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.digest()


def pause_s(crash_count: int) -> float:
    """Return how long a request waits after its last crash."""
    if crash_count < CRASHES_TO_QUARANTINE:
        return 0.0
    exponent = min(crash_count - CRASHES_TO_QUARANTINE, 16)
    return min(MAX_PAUSE_S, FIRST_PAUSE_S * PAUSE_GROWTH**exponent)


def _split_crash_name(name: str) -> tuple[str, int]:
    """Return a crash's incarnation and its number there, from 0.

    Targets choose their ids, so one may hold the sign before the number.
    """
    incarnation, _, number = name.rpartition("+")
    if incarnation and number.isdecimal():
        return incarnation, int(number)
    return name, 0


class Crash(msgspec.Struct, frozen=True):
    """Name a crash of a target, and the requests in flight there."""

    name: str
    at_s: float
    fingerprints: frozenset[bytes]


class Clearance(msgspec.Struct, frozen=True):
    """Clear a request of all crashes until `at_s`."""

    fingerprint: bytes
    at_s: float


class Trial(msgspec.Struct, frozen=True):
    """Say until when a VM tries a suspected request; it may end earlier."""

    fingerprint: bytes
    vm: str
    until_s: float


Observation = Crash | Clearance | Trial


class Standing(msgspec.Struct, frozen=True):
    """Say what counts against a request, and how long it has to wait.

    `crashes` holds the names and times of the crashes, the earliest first.
    """

    crashes: tuple[tuple[str, float], ...] = ()
    wait_s: float = 0.0

    @property
    def needs_claim(self) -> bool:
        """Return whether a VM has to claim the trial of the request."""
        return len(self.crashes) >= CRASHES_TO_CLAIM

    def describe_crashes(self, now_s: float) -> str:
        """Return the names of the crashes and how long ago they were."""
        return ", ".join(
            f"{name} {now_s - at_s:.1f} s ago" for name, at_s in self.crashes
        )


NO_SUSPICION: Final = Standing()


class _CrashState(msgspec.Struct):
    at_s: float
    revision: int
    fingerprints: set[bytes] = msgspec.field(default_factory=set)


class _Suspect(msgspec.Struct):
    """Hold what is known of one request.

    `crashes` are all that it was in flight at since it was last cleared,
    `counted` those that no other request explains, by time.
    """

    seen_at_s: float
    crashes: set[str] = msgspec.field(default_factory=set)
    counted: tuple[tuple[str, float], ...] = ()
    cleared_at_s: float = _NEVER_S
    clearance_revision: int = 0
    trial: Trial | None = None
    trial_revision: int = 0

    def expires_at_s(self) -> float:
        """Return when nothing of the request matters any more."""
        kept_s = max(SUSPICION_S, 2 * pause_s(len(self.counted)))
        return self.seen_at_s + kept_s


class Quarantine:
    """Keep observations, and tell whether a request may be tried.

    `revision` counts the observations that were new.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._crashes: dict[str, _CrashState] = {}
        self._latest_crashes: dict[str, str] = {}
        self._suspects: dict[bytes, _Suspect] = {}
        self._heavy: set[bytes] = set()
        self._expiry_due_s = _NEVER_S

    def standing(self, fingerprint: bytes, now_s: float) -> Standing:
        """Return what counts against a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.counted:
            return NO_SUSPICION
        if suspect.expires_at_s() <= now_s:
            return NO_SUSPICION
        _, last_s = suspect.counted[-1]
        until_s = last_s + pause_s(len(suspect.counted))
        if suspect.trial is not None:
            until_s = max(until_s, suspect.trial.until_s)
        return Standing(suspect.counted, max(0.0, until_s - now_s))

    def name_crash(self, incarnation: str, opened_at_s: float) -> str:
        """Return the name of an incarnation's crash.

        It is the known crash if the broken connection had been opened before
        that, and a new one otherwise: a target may return under its id before
        it is announced.
        """
        latest = self._latest_crashes.get(incarnation)
        if latest is None:
            return incarnation
        if opened_at_s <= self._crashes[latest].at_s:
            return latest
        _, number = _split_crash_name(latest)
        return f"{incarnation}+{number + 1}"

    def add(self, observation: Observation, now_s: float) -> bool:
        """Add an observation; return whether it was new."""
        if now_s >= self._expiry_due_s:
            self._expiry_due_s = now_s + EXPIRY_INTERVAL_S
            self._drop_expired(now_s)
        match observation:
            case Crash():
                is_new = self._add_crash(observation)
            case Clearance():
                is_new = self._add_clearance(observation)
            case Trial():
                is_new = self._add_trial(observation, now_s)
        return is_new

    def _add_crash(self, crash: Crash) -> bool:
        known = self._crashes.get(crash.name)
        known_fingerprints = known.fingerprints if known else set()
        added = {
            fingerprint
            for fingerprint in crash.fingerprints - known_fingerprints
            if self._cleared_at_s(fingerprint) < crash.at_s
        }
        if not added:
            return False
        self.revision += 1
        if known is None:
            known = self._crashes[crash.name] = _CrashState(crash.at_s, 0)
            incarnation, _ = _split_crash_name(crash.name)
            self._latest_crashes[incarnation] = crash.name
        known.revision = self.revision
        known.fingerprints |= added
        for fingerprint in added:
            suspect = self._suspect_of(fingerprint, crash.at_s)
            suspect.crashes.add(crash.name)
            suspect.trial = None
        self._judge(added, ())
        return True

    def _add_clearance(self, clearance: Clearance) -> bool:
        suspect = self._suspect_of(clearance.fingerprint, clearance.at_s)
        earlier = [
            name
            for name in suspect.crashes
            if self._crashes[name].at_s <= clearance.at_s
        ]
        if not earlier and suspect.clearance_revision:
            return False
        self.revision += 1
        suspect.clearance_revision = self.revision
        suspect.cleared_at_s = max(suspect.cleared_at_s, clearance.at_s)
        suspect.trial = None
        for name in earlier:
            suspect.crashes.discard(name)
            self._crashes[name].fingerprints.discard(clearance.fingerprint)
        self._judge((clearance.fingerprint,), earlier)
        return True

    def _add_trial(self, trial: Trial, now_s: float) -> bool:
        suspect = self._suspects.get(trial.fingerprint)
        if suspect is None or not suspect.counted:
            return False
        known = suspect.trial
        if trial.until_s <= now_s:
            if known is None or known.vm != trial.vm:
                return False
            if known.until_s <= now_s:
                return False
        elif known is not None and not _replaces(trial, known, now_s):
            return False
        suspect.trial = trial
        self.revision += 1
        suspect.trial_revision = self.revision
        return True

    def is_trial_of(self, fingerprint: bytes, vm: str, now_s: float) -> bool:
        """Return whether a VM's trial of a request is in force."""
        suspect = self._suspects.get(fingerprint)
        trial = None if suspect is None else suspect.trial
        return trial is not None and trial.vm == vm and trial.until_s > now_s

    def _cleared_at_s(self, fingerprint: bytes) -> float:
        suspect = self._suspects.get(fingerprint)
        return _NEVER_S if suspect is None else suspect.cleared_at_s

    def _suspect_of(self, fingerprint: bytes, at_s: float) -> _Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            if len(self._suspects) >= MAX_SUSPECTS:
                self._evict()
            suspect = self._suspects[fingerprint] = _Suspect(at_s)
        suspect.seen_at_s = max(suspect.seen_at_s, at_s)
        return suspect

    def _judge(self, changed: Iterable[bytes], names: Iterable[str]) -> None:
        """Work out which crashes count against which requests.

        The request that had enough crashes first explains all of its own.
        Requests that had them at the same time can't be told apart. Only
        those in flight at the crashes of `changed` requests, at the crashes
        `names` and at those of guilty requests can be concerned.
        """
        concerned = set(changed) | self._heavy
        for name in {*names, *self._names_of(concerned)}:
            concerned |= self._crashes[name].fingerprints
        left = {
            fingerprint: set(self._suspects[fingerprint].crashes)
            for fingerprint in concerned & self._suspects.keys()
        }
        self._heavy -= concerned
        self._heavy |= {
            fingerprint
            for fingerprint, crashes in left.items()
            if len(crashes) >= CRASHES_TO_EXPLAIN
        }
        while True:
            guilty = self._find_first_guilty(left)
            if not guilty:
                break
            explained: set[str] = set()
            for fingerprint in guilty:
                crashes = left.pop(fingerprint)
                explained |= crashes
                self._count(fingerprint, crashes)
            for crashes in left.values():
                crashes -= explained
        for fingerprint, crashes in left.items():
            self._count(fingerprint, crashes)

    def _names_of(self, fingerprints: Iterable[bytes]) -> Iterator[str]:
        for fingerprint in fingerprints:
            suspect = self._suspects.get(fingerprint)
            if suspect is not None:
                yield from suspect.crashes

    def _find_first_guilty(
        self, crashes: Mapping[bytes, Collection[str]]
    ) -> list[bytes]:
        """Return the requests that had `CRASHES_TO_EXPLAIN` first."""
        guilty: list[bytes] = []
        first_s = float("inf")
        for fingerprint, names in crashes.items():
            if len(names) < CRASHES_TO_EXPLAIN:
                continue
            times_s = sorted(self._crashes[name].at_s for name in names)
            enough_s = times_s[CRASHES_TO_EXPLAIN - 1]
            if enough_s < first_s:
                guilty, first_s = [], enough_s
            if enough_s == first_s:
                guilty.append(fingerprint)
        return guilty

    def _count(self, fingerprint: bytes, names: Iterable[str]) -> None:
        by_time = sorted((self._crashes[name].at_s, name) for name in names)
        self._suspects[fingerprint].counted = tuple(
            (name, at_s) for at_s, name in by_time
        )

    def _drop_expired(self, now_s: float) -> None:
        expired = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if suspect.expires_at_s() <= now_s
        ]
        self._drop(expired)
        self._forget_crashes(now_s - SUSPICION_S)

    def _evict(self) -> None:
        by_weight = sorted(
            self._suspects,
            key=lambda key: (
                len(self._suspects[key].counted),
                self._suspects[key].seen_at_s,
            ),
        )
        self._drop(by_weight[: int(MAX_SUSPECTS * EVICTED_FRACTION)])

    def _drop(self, fingerprints: Collection[bytes]) -> None:
        for fingerprint in fingerprints:
            names = self._suspects.pop(fingerprint).crashes
            for name in names:
                self._crashes[name].fingerprints.discard(fingerprint)
            if fingerprint in self._heavy:
                self._judge((fingerprint,), names)

    def _forget_crashes(self, until_s: float) -> None:
        """Drop the crashes that count against no request any more."""
        for name, crash in list(self._crashes.items()):
            if crash.fingerprints or crash.at_s > until_s:
                continue
            del self._crashes[name]
            incarnation, _ = _split_crash_name(name)
            if self._latest_crashes.get(incarnation) == name:
                del self._latest_crashes[incarnation]

    def changed_since(self, revision: int) -> list[Observation]:
        """Return the observations that were new after a revision."""
        changed: list[Observation] = [
            Crash(name, crash.at_s, frozenset(crash.fingerprints))
            for name, crash in self._crashes.items()
            if crash.revision > revision and crash.fingerprints
        ]
        for fingerprint, suspect in self._suspects.items():
            if suspect.clearance_revision > revision:
                changed.append(Clearance(fingerprint, suspect.cleared_at_s))
            if suspect.trial is not None and (
                suspect.trial_revision > revision
            ):
                changed.append(suspect.trial)
        return changed


def _replaces(trial: Trial, known: Trial, now_s: float) -> bool:
    """Return whether a trial takes the place of another one.

    Of trials by several VMs the same one is in force on all of them.
    """
    if trial.vm == known.vm or known.until_s <= now_s:
        return trial.until_s > known.until_s
    return _claim_rank(trial) < _claim_rank(known)


def _claim_rank(trial: Trial) -> bytes:
    return hashlib.blake2b(
        trial.fingerprint + trial.vm.encode(), digest_size=8
    ).digest()


def encode_observations(
    observations: Iterable[Observation], now_s: float
) -> tuple[SuspectRecord, ...]:
    """Return the messages of observations; they hold ages, not times.

    A crash that several VMs saw may take more than one.
    """
    return tuple(
        record
        for observation in observations
        for record in _encode(observation, now_s)
    )


def _encode(observation: Observation, now_s: float) -> Iterator[SuspectRecord]:
    match observation:
        case Crash(name, at_s, fingerprints):
            ordered = sorted(fingerprints)
            for start in range(0, len(ordered), MAX_FINGERPRINTS_PER_CRASH):
                part = ordered[start : start + MAX_FINGERPRINTS_PER_CRASH]
                yield SuspectRecord(
                    SuspectKind.CRASH,
                    name,
                    tuple(part),
                    _to_ms(now_s - at_s),
                )
        case Clearance(fingerprint, at_s):
            yield SuspectRecord(
                SuspectKind.CLEARANCE,
                "",
                (fingerprint,),
                _to_ms(now_s - at_s),
            )
        case Trial(fingerprint, vm, until_s):
            yield SuspectRecord(
                SuspectKind.TRIAL,
                vm,
                (fingerprint,),
                0,
                _to_ms(until_s - now_s),
            )


def _to_ms(seconds: float) -> int:
    return round(min(MAX_AGE_MS, max(0.0, seconds * 1000)))


def decode_records(
    records: Iterable[SuspectRecord], now_s: float
) -> Iterator[Observation]:
    """Yield the observations of messages that have just arrived.

    Messages with values that no VM can have sent are left out.
    """
    for record in records:
        if not _is_usable(record):
            continue
        at_s = now_s - record.age_ms / 1000
        match record.kind:
            case SuspectKind.CRASH:
                yield Crash(record.name, at_s, frozenset(record.fingerprints))
            case SuspectKind.CLEARANCE:
                yield Clearance(record.fingerprints[0], at_s)
            case SuspectKind.TRIAL:
                left_s = min(TRIAL_S, record.left_ms / 1000)
                yield Trial(
                    record.fingerprints[0], record.name, now_s + left_s
                )


def _is_usable(record: SuspectRecord) -> bool:
    return (
        0 <= record.age_ms <= MAX_AGE_MS
        and 0 <= record.left_ms <= MAX_AGE_MS
        and len(record.name) <= MAX_NAME_CHARS
        and 0 < len(record.fingerprints) <= MAX_FINGERPRINTS_PER_CRASH
        and all(
            0 < len(fingerprint) <= MAX_FINGERPRINT_BYTES
            for fingerprint in record.fingerprints
        )
    )


class Flight(msgspec.Struct, eq=False):
    """Hold an attempt that a target may be running.

    `incarnation` names the target's process, `abandoned_at_s` is when the
    attempt was given up, infinite before.
    """

    incarnation: str
    fingerprint: bytes
    began_s: float
    abandoned_at_s: float = float("inf")


class SuspectTable:
    """Keep this VM's attempts in flight, and the fleet's observations.

    `sequence` counts this VM's own observations; `on_report` is called after
    each.
    """

    def __init__(self, name: str = "") -> None:
        self._name = name
        self._quarantine = Quarantine()
        self._flights: dict[str, list[Flight]] = {}
        self._sweep_due_s = float("-inf")
        self._own: deque[tuple[int, Observation]] = deque(
            maxlen=MAX_OWN_OBSERVATIONS
        )
        self.sequence = 0
        self.on_report: Callable[[], None] = lambda: None

    def standing(self, fingerprint: bytes, now_s: float) -> Standing:
        """Return what counts against a request."""
        return self._quarantine.standing(fingerprint, now_s)

    def claim(self, fingerprint: bytes, now_s: float) -> None:
        """Claim the trial of a suspected request for this VM."""
        self._observe(Trial(fingerprint, self._name, now_s + TRIAL_S), now_s)

    def holds_claim(self, fingerprint: bytes, now_s: float) -> bool:
        """Return whether this VM may try a request that it has claimed."""
        return self._quarantine.is_trial_of(fingerprint, self._name, now_s)

    def begin(
        self, incarnation: str, fingerprint: bytes, now_s: float
    ) -> Flight:
        """Record an attempt; one of a suspected request is a trial."""
        if now_s >= self._sweep_due_s:
            self._sweep_due_s = now_s + SWEEP_INTERVAL_S
            self._drop_ended(now_s)
        flight = Flight(incarnation, fingerprint, now_s)
        self._flights.setdefault(incarnation, []).append(flight)
        if self.standing(fingerprint, now_s).crashes:
            self.claim(fingerprint, now_s)
        return flight

    def _drop_ended(self, now_s: float) -> None:
        """Drop the attempts that no target can be running any more."""
        for incarnation, flights in list(self._flights.items()):
            flights[:] = [
                flight for flight in flights if _is_current(flight, now_s)
            ]
            if not flights:
                del self._flights[incarnation]

    def end(self, flight: Flight, now_s: float) -> None:
        """Record that an attempt ended without a crash or a response."""
        self._remove(flight)
        self._observe(Trial(flight.fingerprint, self._name, now_s), now_s)

    def clear(self, flight: Flight, now_s: float) -> None:
        """Record that an attempt got a complete response."""
        self._remove(flight)
        self.clear_request(flight.fingerprint, now_s)

    def clear_request(self, fingerprint: bytes, now_s: float) -> None:
        """Record that a request got a complete response."""
        if self.standing(fingerprint, now_s).crashes:
            self._observe(Clearance(fingerprint, now_s), now_s)

    def abandon(self, flight: Flight, now_s: float) -> None:
        """Record that an attempt was given up; the target may go on."""
        flight.abandoned_at_s = now_s

    def _remove(self, flight: Flight) -> None:
        flights = self._flights.get(flight.incarnation, [])
        if flight in flights:
            flights.remove(flight)
        if not flights:
            self._flights.pop(flight.incarnation, None)

    def has_flights(self, incarnation: str, now_s: float) -> bool:
        """Return whether a target may be running attempts of this VM."""
        return any(
            _is_current(flight, now_s)
            for flight in self._flights.get(incarnation, ())
        )

    def has_abandoned(self, incarnation: str, now_s: float) -> bool:
        """Return whether a target may be running attempts given up here."""
        return any(
            flight.abandoned_at_s <= now_s and _is_current(flight, now_s)
            for flight in self._flights.get(incarnation, ())
        )

    def record_crash(
        self,
        incarnation: str,
        opened_at_s: float,
        now_s: float,
        ended: frozenset[bytes] = frozenset(),
    ) -> Crash | None:
        """Count a target's crash against the requests in flight there.

        `opened_at_s` is when the connection was opened that showed it, and
        `ended` are requests whose attempts it has just ended. Return None if
        the crash counts against no request that wasn't known.
        """
        flights = [
            flight
            for flight in self._flights.pop(incarnation, ())
            if _is_current(flight, now_s)
        ]
        room = MAX_FINGERPRINTS_PER_CRASH - len(ended)
        fingerprints = ended | {
            flight.fingerprint for flight in flights[-room:]
        }
        name = self._quarantine.name_crash(incarnation, opened_at_s)
        crash = Crash(name, now_s, fingerprints)
        if not fingerprints or not self._observe(crash, now_s):
            return None
        return crash

    def merge(
        self, records: Iterable[SuspectRecord], now_s: float
    ) -> list[Crash]:
        """Add what other VMs observed; return the crashes that were new.

        Requests that this VM had given up at a crashed target count too: no
        connection of its own shows their end.
        """
        told: list[Crash] = []
        for observation in decode_records(records, now_s):
            is_new = self._quarantine.add(observation, now_s)
            if is_new and isinstance(observation, Crash):
                told.append(observation)
                self._join(observation, now_s)
        return told

    def _join(self, crash: Crash, now_s: float) -> None:
        """Count a crash against the requests given up at the target."""
        incarnation, _ = _split_crash_name(crash.name)
        joined = frozenset(
            flight.fingerprint
            for flight in self._flights.get(incarnation, ())
            if flight.abandoned_at_s <= now_s and _is_current(flight, now_s)
        )
        if joined:
            self._observe(Crash(crash.name, crash.at_s, joined), now_s)

    def _observe(self, observation: Observation, now_s: float) -> bool:
        if not self._quarantine.add(observation, now_s):
            return False
        self.sequence += 1
        self._own.append((self.sequence, observation))
        self.on_report()
        return True

    def records_since(
        self, sequence: int, now_s: float
    ) -> tuple[SuspectRecord, ...]:
        """Return this VM's observations after a sequence.

        From 0, return those of other VMs too: the replica may have restarted.
        """
        if not sequence:
            return encode_observations(
                self._quarantine.changed_since(0), now_s
            )
        return self.own_records_since(sequence, now_s)

    def own_records_since(
        self, sequence: int, now_s: float
    ) -> tuple[SuspectRecord, ...]:
        """Return this VM's own observations after a sequence."""
        return encode_observations(
            (seen for number, seen in self._own if number > sequence), now_s
        )


def _is_current(flight: Flight, now_s: float) -> bool:
    """Return whether a target may be running an attempt."""
    return (
        now_s - flight.abandoned_at_s < ABANDONED_S
        and now_s - flight.began_s < MAX_FLIGHT_S
    )
