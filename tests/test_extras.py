"""Without the bench extra, a command's error names that extra."""

import contextlib
import io
import sys
import unittest
from unittest import mock

from wigeonford.cli import main
from wigeonford.daemon import EXIT_FAILED


class ExtraTest(unittest.TestCase):
    """Run a command while the packages of the bench extra are missing."""

    def test_demo_names_the_extra(self) -> None:
        bench_modules = [
            name
            for name in sys.modules
            if name.startswith(("wigeonford.bench", "hdrh"))
        ]
        missing_modules: dict[str, None] = {
            "hdrh": None,
            "hdrh.histogram": None,
        }
        error_output = io.StringIO()
        with (
            mock.patch.dict(sys.modules),
            contextlib.redirect_stderr(error_output),
        ):
            for name in bench_modules:
                del sys.modules[name]
            sys.modules.update(missing_modules)  # type: ignore[arg-type]
            code = main(["demo"])
        self.assertEqual(EXIT_FAILED, code)
        self.assertIn("2006", error_output.getvalue())
        self.assertIn("wigeonford[bench]", error_output.getvalue())
