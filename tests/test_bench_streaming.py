"""An entry VM streams large bodies in bounded memory."""

import argparse
import asyncio
import unittest

from wigeonford.bench._streaming import run


class StreamingTest(unittest.TestCase):
    """Stream a body above the memory limit, so that buffering it fails."""

    def test_a_body_over_the_limit_stays_under_it_in_memory(self) -> None:
        report = asyncio.run(run(argparse.Namespace(megabytes=24.0)))
        self.assertTrue(report.passed, report.data)
