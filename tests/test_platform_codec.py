"""Decoding and encoding of the platform's documents and headers."""

import json
import unittest

from wigeonford.deployment import RouteKind
from wigeonford.errors import Code, RequestRejected, RunState
from wigeonford.http import find_header, Request, Response
from wigeonford.platform._announcements import (
    AnnouncementInvalid,
    decode_announcement,
)
from wigeonford.platform._documents import (
    decode_deployment,
    decode_patch,
    DocumentInvalid,
    encode_deployment,
)
from wigeonford.platform._front import (
    decode_request,
    encode_rejection,
    encode_response,
    PlatformTargetWire,
)
from wigeonford.steer import TargetRunState

CONFIGURATION = {
    "version": "00000007",
    "services": [
        {
            "name": "huvo11a",
            "health_check_path": "/health",
            "connection_limit": 330,
            "protocol": "h1",
            "tls": False,
            "cold_start_s": 3.0,
            "cold_per_s": 7.4,
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    },
    "tenants": [
        {
            "name": "yefi830",
            "api_keys": ["k1", "k2"],
            "priority": 0,
            "requests_per_s": 124,
            "burst": 124,
            "home_regions": [],
        }
    ],
    "hosts": [
        {
            "host": "jepu9.example",
            "paths": [
                {
                    "name": "r-1",
                    "path_prefix": "/lepu270/",
                    "kind": "safe",
                    "timeout_s": 2.5,
                    "target_latency_s": 0.6,
                    "priority": 2,
                    "traffic_split": [
                        {"service": "huvo11a", "weight": 90},
                        {"service": "kafi81c", "weight": 10},
                    ],
                    "attempts": 2,
                    "anonymous_access": False,
                    "cache_affinity": True,
                    "home_regions": [],
                }
            ],
        },
        {"host": "empty.example", "paths": []},
    ],
}

ANNOUNCEMENT = {
    "address": "10.128.0.9:8080",
    "born": 1774410408010,
    "information": {
        "service": "huvo11a",
        "version": "v1",
        "zone": "amman-a",
        "slots": 9,
    },
    "status": {"state": "ready", "sequence": 4, "cold_remaining_s": 0},
}


class ConfigurationTest(unittest.TestCase):
    """A decoded configuration encodes to itself; invalid ones are rejected."""

    def test_round_trip(self) -> None:
        content = json.dumps(CONFIGURATION).encode()
        deployment = decode_deployment(content)
        self.assertEqual(7, deployment.version)
        self.assertIs(RouteKind.SAFE, deployment.routes[0].kind)
        self.assertEqual(
            CONFIGURATION, json.loads(encode_deployment(deployment))
        )

    def test_cut_or_wrong_ones_are_refused(self) -> None:
        content = json.dumps(CONFIGURATION)
        for bad in (
            content[:-20],
            content.replace('"timeout_s": 2.5, ', ""),
            content.replace('"safe"', '"other"'),
            content.replace("00000007", "seven"),
            "[]",
        ):
            with self.subTest(bad[-30:]), self.assertRaises(DocumentInvalid):
                decode_deployment(bad.encode())

    def test_patch_names_what_to_set_and_drop(self) -> None:
        patch = decode_patch(
            json.dumps(
                {
                    "version": "0000000a",
                    "upsert": {"hosts": CONFIGURATION["hosts"]},
                    "remove": {"routes": ["r-old"], "tenants": ["gone"]},
                }
            ).encode()
        )
        self.assertEqual(10, patch.version)
        self.assertEqual(["r-1"], [route.name for route in patch.routes])
        self.assertEqual(("r-old",), patch.removed_routes)
        self.assertEqual(("gone",), patch.removed_accounts)


class AnnouncementTest(unittest.TestCase):
    """An invalid announcement describes no usable target and is rejected."""

    def test_valid_one(self) -> None:
        announcement = decode_announcement(
            "i-1", json.dumps(ANNOUNCEMENT).encode(), {"amman-a"}
        )
        self.assertEqual("10.128.0.9:8080", announcement.address)
        self.assertEqual(
            (4, False), (announcement.sequence, announcement.is_draining)
        )

    def test_faulty_ones_are_refused(self) -> None:
        content = json.dumps(ANNOUNCEMENT)
        for bad in (
            content[:-9],
            content.replace('"sequence": 4', '"sequence": "4"'),
            content.replace('"sequence": 4', '"sequence": true'),
            content.replace('"born": 1774410408010, ', ""),
            content.replace("1774410408010", "1774410408010.5"),
            content.replace('"ready"', '"odd"'),
            content.replace("amman-a", "nowhere"),
            content.replace('"slots": 9', '"slots": 0'),
            content.replace("10.128.0.9:8080", "example:80"),
        ):
            with self.subTest(bad), self.assertRaises(AnnouncementInvalid):
                decode_announcement("i-1", bad.encode(), {"amman-a"})


def make_request(*headers: tuple[bytes, bytes]) -> Request:
    """Return a caller's request."""
    base = ((b"host", b"jepu9.example"), (b"x-attempt-id", b"abc"))
    return Request("GET", "/a/b", "q=1", (*base, *headers), "10.0.0.1")


class FrontTest(unittest.TestCase):
    """Headers are translated between callers, entry VM and targets."""

    def test_keys_and_forged_headers_stay_here(self) -> None:
        req = decode_request(
            make_request(
                (b"x-key", b"secret"),
                (b"x-tenant", b"forged"),
                (b"x-expected-instance", b"forged"),
                (b"x-deadline-remaining", b"4000"),
                (b"x-affinity-key", b"17"),
                (b"connection", b"keep-alive, x-hop"),
                (b"x-hop", b"1"),
                (b"x-other", b"kept"),
            )
        )
        self.assertEqual("secret", req.key)
        self.assertEqual(4.0, req.time_left_s)
        self.assertEqual("17", req.object_id)
        headers = PlatformTargetWire().build_headers(req, "i-7", "farm", 1.5)
        names = [name for name, _ in headers]
        self.assertNotIn(b"x-key", names)
        self.assertNotIn(b"x-hop", names)
        self.assertEqual(1, names.count(b"x-tenant"))
        self.assertEqual("farm", find_header(headers, b"x-tenant"))
        self.assertEqual("i-7", find_header(headers, b"x-expected-instance"))
        self.assertEqual("1500", find_header(headers, b"x-deadline-remaining"))
        self.assertEqual("kept", find_header(headers, b"x-other"))

    def test_answers_say_whether_the_request_ran(self) -> None:
        wire = PlatformTargetWire()
        signed = (
            (b"x-attempt-id", b"abc"),
            (b"x-response-signature", b"s"),
        )
        cases = {
            Response(200, signed): (TargetRunState.RAN, True),
            Response(200, signed[:1]): (TargetRunState.RAN, False),
            Response(200, (*signed, (b"content-encoding", b"gzip"))): (
                TargetRunState.RAN,
                False,
            ),
            Response(500, signed): (TargetRunState.RAN, True),
            Response(503, signed): (TargetRunState.RAN, False),
            Response(503, ((b"x-not-executed", b"1"),)): (
                TargetRunState.NOT_RUN,
                False,
            ),
            Response(421): (TargetRunState.WRONG_TARGET, False),
        }
        for response, expected in cases.items():
            facts = wire.parse_facts(response)
            self.assertEqual(expected, (facts.run, facts.is_complete))
        loaded = wire.parse_facts(
            Response(500, ((b"x-server-load", b"3,2,9"),))
        )
        self.assertEqual((3, 2), (loaded.running, loaded.waiting))

    def test_promises_are_made_only_where_nothing_ran(self) -> None:
        not_run = RequestRejected(Code.NO_CAPACITY, retry_after_s=0.25)
        response = encode_rejection(not_run)
        self.assertEqual(503, response.status)
        self.assertEqual("0.25", response.header(b"retry-after"))
        unknown = RequestRejected(Code.NO_CAPACITY, run_state=RunState.UNKNOWN)
        self.assertEqual(502, encode_rejection(unknown).status)

    def test_unframed_answer_gets_a_length(self) -> None:
        response = Response(
            200, ((b"transfer-encoding", b"chunked"),), b"whole"
        )
        encoded = encode_response(make_request(), response)
        self.assertEqual("5", encoded.header(b"content-length"))
        self.assertIsNone(encoded.header(b"transfer-encoding"))
