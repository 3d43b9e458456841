"""What this VM observes of requests that crash targets: pure.

Each VM sees only how its own attempts end. So it keeps which requests are in
flight at each target, or were given up a moment ago, and when a target
crashes, the crash counts against all of these.
"""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from wigeonford.messages.steering import SuspectRecord
from wigeonford.suspects._quarantine import (
    Clearance,
    Crash,
    MAX_FINGERPRINTS_PER_CRASH,
    Observation,
    Quarantine,
    Standing,
    Trial,
    TRIAL_S,
)
from wigeonford.suspects._records import decode_records, encode_observations

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
            until_s = now_s + TRIAL_S
            self._observe(Trial(fingerprint, self._name, until_s), now_s)
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
        incarnation, _, _ = crash.name.partition("+")
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
