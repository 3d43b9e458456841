"""Numbers that targets, callers, operators and peers state stay in bounds."""

import json
import math
from typing import Any, Final
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.test_deployment import make_announcement
from tests.test_platform_codec import CONFIGURATION, make_request
from wigeonford.control._quota_service import _clamp_fraction
from wigeonford.deployment import Account, Deployment
from wigeonford.errors import Code, RequestRejected, SettingsError
from wigeonford.http import Response
from wigeonford.messages.steering import QuotaLeaseGrant, TargetLimit
from wigeonford.platform._documents import (
    decode_deployment,
    decode_patch,
    DocumentInvalid,
    encode_deployment,
)
from wigeonford.platform._front import (
    decode_request,
    MAX_PAUSE_S,
    PlatformTargetWire,
)
from wigeonford.settings import CallerLimits, decode
from wigeonford.steer import AccountRates, TargetLimits
from wigeonford.steer._domains import Domain, find_available
from wigeonford.steer._target_records import TargetRecord

HUGE: Final = 10**400
NUMBERS: Final = st.one_of(
    st.integers(),
    st.floats(),
    st.sampled_from([HUGE, -HUGE, 1 << 63, 1e308, 1e-320]),
)
HEADER_VALUES: Final = st.one_of(
    st.binary(max_size=40),
    st.from_regex(r"[0-9]{1,400}", fullmatch=True).map(str.encode),
    NUMBERS.map(lambda number: str(number).encode()),
    st.lists(st.integers().map(str), max_size=5).map(
        lambda parts: ",".join(parts).encode()
    ),
)


class HeaderTest(unittest.TestCase):
    """Whatever a header states, what is read of it is finite."""

    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(
        st.sampled_from([200, 421, 429, 500, 503]),
        st.dictionaries(
            st.sampled_from(
                [
                    b"x-server-load",
                    b"retry-after",
                    b"server-limit",
                    b"server-leaving",
                    b"x-attempt-id",
                    b"x-not-executed",
                ]
            ),
            HEADER_VALUES,
        ),
    )
    def test_headers_of_targets(
        self, status: int, headers: dict[bytes, bytes]
    ) -> None:
        facts = PlatformTargetWire().parse_facts(
            Response(status, tuple(headers.items()))
        )
        self.assertTrue(0 <= facts.pause_s <= MAX_PAUSE_S)
        self.assertTrue(math.isfinite(facts.limit_per_s or 0.0))
        record = TargetRecord(make_announcement(), "south", 0.0)
        if facts.running is not None:
            record.record_load(facts.running, facts.waiting or 0, 1.0)
        self.assertTrue(math.isfinite(record.load(1.0)))

    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(
        st.dictionaries(
            st.sampled_from(
                [
                    b"x-deadline-remaining",
                    b"x-affinity-key",
                    b"x-key",
                    b"connection",
                    b"x-attempt-id",
                ]
            ),
            HEADER_VALUES,
        )
    )
    def test_headers_of_callers(self, headers: dict[bytes, bytes]) -> None:
        try:
            req = decode_request(make_request(*headers.items()))
        except RequestRejected as exc:
            self.assertIs(Code.BAD_ARGUMENT, exc.code)
            return
        self.assertTrue(math.isfinite(req.time_left_s or 0.0))
        PlatformTargetWire().build_headers(req, "i-1", None, 1.0)

    def test_load_of_one_target_leaves_the_others_usable(self) -> None:
        records = tuple(
            TargetRecord(make_announcement(target_id=f"t-{number}"), "s", 0.0)
            for number in range(50)
        )
        records[0].record_load(10**17, 10**17, 1.0)
        domain = Domain(
            "s",
            "s",
            records,
            {record.target_id: record for record in records},
            sum(record.announced.slots for record in records),
        )
        self.assertLess(find_available(domain, 1.0, 2).utilization, 0.5)


def numeric_paths(value: Any, path: tuple[Any, ...] = ()) -> Any:
    """Yield the paths of the numbers in a document."""
    if isinstance(value, dict | list):
        items = value.items() if isinstance(value, dict) else enumerate(value)
        for key, item in items:
            yield from numeric_paths(item, (*path, key))
    elif type(value) in (int, float):
        yield path


NUMERIC_PATHS: Final = tuple(numeric_paths(CONFIGURATION))


def with_number(path: tuple[Any, ...], number: Any) -> bytes:
    """Return the configuration with one number replaced."""
    document = json.loads(json.dumps(CONFIGURATION))
    place: Any = document
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = number
    return json.dumps(document).encode()


class ConfigurationTest(unittest.TestCase):
    """What is accepted can be summed, and encoded again."""

    def test_huge_numbers_are_refused(self) -> None:
        self.assertGreater(len(NUMERIC_PATHS), 10)
        for path in NUMERIC_PATHS:
            for number in (HUGE, -HUGE, 1 << 64, 1e308, math.inf, math.nan):
                with (
                    self.subTest(path=path, number=number),
                    self.assertRaises(DocumentInvalid),
                ):
                    decode_deployment(with_number(path, number))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.sampled_from(NUMERIC_PATHS), NUMBERS)
    def test_accepted_ones_can_be_encoded(
        self, path: tuple[Any, ...], number: Any
    ) -> None:
        try:
            deployment = decode_deployment(with_number(path, number))
        except DocumentInvalid:
            return
        encoded = decode_deployment(encode_deployment(deployment))
        self.assertEqual(deployment, encoded)
        self.assertTrue(math.isfinite(sum_of_weights(deployment)))

    def test_nested_documents_are_refused(self) -> None:
        for depth in (400, 900, 100_000):
            nested = ("[" * depth + "]" * depth).encode()
            for decoder in (decode_deployment, decode_patch):
                with self.subTest(depth), self.assertRaises(DocumentInvalid):
                    decoder(b'{"version": ' + nested + b"}")


class SettingsTest(unittest.TestCase):
    """Settings with a number that is not finite name it as a fault."""

    def test_infinite_and_huge_numbers_are_refused(self) -> None:
        for number in (HUGE, -HUGE, math.inf, -math.inf, math.nan):
            for name in ("head_timeout_s", "connections"):
                with (
                    self.subTest(number=number, name=name),
                    self.assertRaises(SettingsError) as caught,
                ):
                    decode(
                        CallerLimits,
                        {name: number},
                        "limits",
                        Code.SETTINGS_INVALID,
                    )
                self.assertIn(name, str(caught.exception))


def sum_of_weights(deployment: Deployment) -> float:
    """Return the sum of all weights of a deployment."""
    return sum(
        share.weight for route in deployment.routes for share in route.split
    )


class PeerTest(unittest.TestCase):
    """One odd number of a peer leaves the others' in force."""

    def test_quota_fractions_are_from_0_to_1(self) -> None:
        account = Account("farm", (), 0, 100.0, 10.0)
        for stated in (math.nan, math.inf, -math.inf, -1.0, 5.0, 1e308):
            self.assertTrue(0 <= _clamp_fraction(stated) <= 1)
            rates = AccountRates("a")
            rates.leader_connected = True
            rates.admit(account, 0.0)
            (asked,) = rates.build_requests({"farm": account}, 0.0)
            rates.apply_grant(QuotaLeaseGrant("farm", asked.number, stated))
            self.assertTrue(0 <= rates.quota_fraction("farm", 0.1) <= 1)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.lists(
            st.builds(
                TargetLimit,
                st.sampled_from(["t-1", "t-2"]),
                st.one_of(st.just(1000), st.integers(), st.just(HUGE)),
                st.one_of(st.none(), st.floats()),
                st.one_of(st.integers(0, 1000), st.integers(), st.just(HUGE)),
            )
        )
    )
    def test_limits_stay_finite(self, reports: list[TargetLimit]) -> None:
        limits = TargetLimits("a", dict)
        limits.merge((*reports, TargetLimit("t-3", 1000, 5.0, 0)), 10.0)
        self.assertEqual(5.0, limits.limit_per_s("t-3"))
        record = TargetRecord(make_announcement(), "south", 0.0)
        for target_id in limits.limited_ids:
            limit_per_s = limits.limit_per_s(target_id)
            assert limit_per_s is not None
            self.assertTrue(0 <= limit_per_s < math.inf)
        if "t-1" in limits.limited_ids:
            limits.has_token(record, 10.0)
            limits.is_tight(record, 0.1, 10.0)
            self.assertTrue(math.isfinite(limits.wait_s(record, 10.0)))
