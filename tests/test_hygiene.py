"""No encoding of a caller's key reaches a target or the log."""

from collections.abc import Callable
import io
import json
import logging
import unittest
from urllib.parse import unquote_to_bytes

from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonford.entry._hygiene import (
    BodyScan,
    clean_query,
    clean_request_headers,
    holds_key,
    refuse_unstrippable_key,
)
from wigeonford.errors import Code, RequestRejected
from wigeonford.events import configure_logging, Event, EventLog
from wigeonford.http import ACCOUNT_HEADER, Headers, Request
from wigeonford.model import derive_key

KEY_ID, KEY = derive_key("a secret of the fleet", "change")
JUNK = st.text("ab%/=&;, \"'+.", max_size=6)
HEADER_NAMES = (
    b"authorization",
    b"proxy-authorization",
    b"x-api-key",
    b"x_api_key",
    b"cookie",
    b"referer",
    b"forwarded",
    b"x-anything",
)
LETTER_CASES: st.SearchStrategy[Callable[[str], str]] = st.sampled_from(
    (str.strip, str.upper, str.title)
)


def _percent_encode(text: str, every: int) -> str:
    """Percent-encode each character whose index is divisible by `every`."""
    return "".join(
        f"%{ord(char):02X}" if index % every == 0 or char == "%" else char
        for index, char in enumerate(text)
    )


@st.composite
def encoded_keys(draw: st.DrawFn, layers: int = 4) -> str:
    """Draw an encoded form of the key, with other text around it."""
    text = draw(LETTER_CASES)(KEY)
    for _ in range(draw(st.integers(0, layers))):
        text = _percent_encode(text, draw(st.integers(1, 5)))
    return draw(JUNK) + text + draw(JUNK)


def contains_key(content: bytes) -> bool:
    """Return whether a target that decodes repeatedly would find the key.

    This oracle searches for the test's key, not for the pattern of keys.
    """
    start = KEY[:17].lower().encode()
    while start not in content.lower():
        decoded = unquote_to_bytes(content)
        if decoded == content:
            return False
        content = decoded
    return True


def _request(headers: Headers = (), path: str = "/x") -> Request:
    return Request("GET", path, "", headers, "127.0.0.1")


FUZZ = settings(max_examples=300, derandomize=True, deadline=None)


class HygieneTest(unittest.TestCase):
    """Put a key into each part of a request."""

    @FUZZ
    @given(encoded_keys(), JUNK, JUNK)
    def test_query(self, key: str, name: str, value: str) -> None:
        for query in (
            f"{name}={key}&{value}=1",
            f"{key}={value}",
            f"{key}",
            f"a=1&{name}={value};{key}&b=2",
        ):
            self.assertFalse(contains_key(clean_query(query).encode()), query)

    @FUZZ
    @given(encoded_keys(), st.sampled_from(HEADER_NAMES), JUNK)
    def test_header_values(self, key: str, name: bytes, extra: str) -> None:
        value = f"{extra}; {key}; {extra}".encode()
        for _, kept in clean_request_headers(((name, value),), "a", 5):
            self.assertFalse(contains_key(kept), value)

    @FUZZ
    @given(st.integers(1, 5), st.booleans())
    def test_header_names(self, every: int, is_plain: bool) -> None:
        name = (
            (KEY if is_plain else _percent_encode(KEY, every)).lower().encode()
        )
        for kept, _ in clean_request_headers(((name, b"1"),), "a", 5):
            self.assertFalse(contains_key(kept), name)

    @FUZZ
    @given(encoded_keys())
    def test_path_and_idempotency_key_are_refused(self, key: str) -> None:
        requests = (
            _request(path=f"/x/{key}"),
            _request(((b"idempotency-key", key.encode()),)),
        )
        for request in requests:
            with self.assertRaises(RequestRejected) as caught:
                refuse_unstrippable_key(request)
            self.assertIs(caught.exception.code, Code.BAD_ARGUMENT)
            self.assertFalse(contains_key(str(caught.exception).encode()))

    @FUZZ
    @given(
        encoded_keys(layers=1),
        st.booleans(),
        st.lists(st.integers(1, 9), min_size=1, max_size=40),
    )
    def test_body(self, key: str, is_escaped: bool, sizes: list[int]) -> None:
        if is_escaped:
            key = "".join(f"\\u{ord(char):04x}" for char in KEY)
            self.assertEqual(json.loads(f'"{key}"'), KEY)
        content = f"key={key}&more=1".encode()
        scan = BodyScan("application/json")
        with self.assertRaises(RequestRejected):
            while content:
                size = sizes.pop() if sizes else 50
                scan.feed(content[:size])
                content = content[size:]

    def test_binary_body_is_searched_for_plain_keys(self) -> None:
        scan = BodyScan("image/png")
        scan.feed(b"\x00\xff" + KEY[:9].encode())
        with self.assertRaises(RequestRejected):
            scan.feed(KEY[9:].encode())

    def test_forged_account_is_dropped_however_it_is_spelt(self) -> None:
        forged = tuple(
            (name, b"forged")
            for name in (ACCOUNT_HEADER, b"wigeonford_account")
        )
        kept = clean_request_headers(forged, "a", None)
        self.assertEqual(kept, ((ACCOUNT_HEADER, b"a"),))

    def test_ordinary_texts_pass(self) -> None:
        for text in ("/a%20b/%E2%82%AC", "q=100%25", "wfk_short", "%", ""):
            self.assertFalse(holds_key(text), text)
        headers = ((b"accept", b"text/html;q=0.9"), (b"cookie", b"a=1; b=2"))
        self.assertEqual(clean_request_headers(headers, None, None), headers)
        self.assertEqual(clean_query("a=1&b=%20"), "a=1&b=%20")
        BodyScan(None).feed(b"wfk_ is not a key, nor is %77fk\\u005f12")

    def test_endless_encoding_counts_as_a_key(self) -> None:
        self.assertTrue(holds_key("%" + "25" * 4000))

    def test_log_hides_keys_in_any_field(self) -> None:
        stream = io.StringIO()
        configure_logging(stream, logging.INFO)
        try:
            raise ValueError(f"bad target /x?key={KEY}")
        except ValueError as exc:
            EventLog().emit(
                Event.REQUEST_INTERNAL_ERROR, exc_info=exc, detail=KEY
            )
        self.assertNotIn(KEY, stream.getvalue())
        self.assertIn("ValueError", stream.getvalue())
