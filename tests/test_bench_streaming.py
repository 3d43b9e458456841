"""Large bodies pass an entry VM in a bounded memory."""

import argparse
import asyncio
import unittest

from wigeonford.bench._streaming import run


class StreamingTest(unittest.TestCase):
    """Stream more than the limit, so that buffering it would fail."""

    def test_a_body_over_the_limit_stays_under_it_in_memory(self) -> None:
        report = asyncio.run(run(argparse.Namespace(megabytes=24.0)))
        self.assertTrue(report.passed, report.data)
