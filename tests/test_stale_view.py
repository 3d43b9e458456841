"""A VM without contact to control promises nothing by what it doesn't know."""

import asyncio
import random
import unittest
from unittest import mock

from msgspec.structs import replace

from tests.test_attempts import make_request
from tests.test_deployment import make_deployment, make_route
from wigeonford.errors import Code, RequestRejected
from wigeonford.events import EventLog
from wigeonford.messages.steering import ViewUpdate
from wigeonford.steer import (
    AccountRates,
    LoanBatcher,
    ViewBuilder,
)
from wigeonford.steer._admission import Admission
from wigeonford.steer._route_stats import RouteStats


class StaleViewTest(unittest.TestCase):
    """Requests for routes and keys that this VM's view doesn't have."""

    def setUp(self) -> None:
        builder = ViewBuilder()
        deployment = make_deployment(make_route("r", "/a/"))
        builder.apply(ViewUpdate(0, 1, deployment, (), {}, (), ()))
        view = builder.build()
        self.is_in_contact = False
        self.admission = Admission(
            lambda: view,
            AccountRates("vm"),
            LoanBatcher(mock.AsyncMock(), EventLog()),
            RouteStats.initial,
            EventLog(),
            random.Random(1),
            lambda: 0.0,
            lambda: self.is_in_contact,
        )

    def reject(self, path: str, key: str | None) -> RequestRejected:
        """Return the rejection of a request."""
        req = replace(make_request(), host="old.example", path=path, key=key)
        with self.assertRaises(RequestRejected) as raised:
            asyncio.run(self.admission.admit(req))
        return raised.exception

    def test_new_route_or_key_is_not_denied_by_a_vm_that_lost_control(
        self,
    ) -> None:
        for path, key in (("/new/", "key-1"), ("/a/", "new"), ("/a/", None)):
            with self.subTest((path, key)):
                error = self.reject(path, key)
                self.assertIs(error.code, Code.CONFIG_STALE)
                self.assertIsNotNone(error.retry_after_s)

    def test_unknown_route_or_key_is_denied_in_contact(self) -> None:
        self.is_in_contact = True
        for path, key, code in (
            ("/new/", "key-1", Code.NO_ROUTE),
            ("/a/", "new", Code.KEY_UNKNOWN),
            ("/a/", None, Code.KEY_MISSING),
        ):
            with self.subTest(code):
                self.assertIs(self.reject(path, key).code, code)
