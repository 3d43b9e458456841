"""Quarantine of requests that crash the targets which run them: pure.

A crash of a target counts against each request that was in flight there, and
a complete response clears a request of all earlier crashes. A request with one
crash may be tried by one VM at a time. After more, it is rejected for a pause
that grows with each crash, and tried once then: an innocent one is cleared
within seconds, and a guilty one crashes few more targets.

VMs exchange these observations, and those that hold the same ones decide
alike. Times are on the clock of the process that holds the observations.
"""

from collections.abc import Collection, Iterable, Iterator, Mapping
import hashlib
from typing import Final

import msgspec

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

    def suspects(self, now_s: float) -> Iterator[tuple[bytes, Standing]]:
        """Yield the requests that are rejected now, and why."""
        for fingerprint in self._suspects:
            standing = self.standing(fingerprint, now_s)
            if standing.wait_s > 0:
                yield fingerprint, standing

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
        _, _, number = latest.partition("+")
        return f"{incarnation}+{int(number or 0) + 1}"

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
            incarnation, _, _ = crash.name.partition("+")
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
        elif known is not None and known.until_s >= trial.until_s:
            return False
        suspect.trial = trial
        self.revision += 1
        suspect.trial_revision = self.revision
        return True

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
            incarnation, _, _ = name.partition("+")
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
