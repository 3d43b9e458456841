"""A plain install says which extra a command needs."""

import contextlib
import io
import sys
import unittest
from unittest import mock

from wigeonford.cli import main
from wigeonford.daemon import EXIT_FAILED


class ExtraTest(unittest.TestCase):
    """Run commands without the packages of the bench extra."""

    def test_demo_names_the_extra(self) -> None:
        bench = [
            name
            for name in sys.modules
            if name.startswith(("wigeonford.bench", "hdrh"))
        ]
        missing: dict[str, None] = {"hdrh": None, "hdrh.histogram": None}
        printed = io.StringIO()
        with (
            mock.patch.dict(sys.modules),
            contextlib.redirect_stderr(printed),
        ):
            for name in bench:
                del sys.modules[name]
            sys.modules.update(missing)  # type: ignore[arg-type]
            code = main(["demo"])
        self.assertEqual(EXIT_FAILED, code)
        self.assertIn("2006", printed.getvalue())
        self.assertIn("wigeonford[bench]", printed.getvalue())
