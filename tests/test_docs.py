"""Pages are linked from README, and the commands on them are valid."""

import contextlib
import io
from pathlib import Path
import re
import shlex
import unittest

from tools.pages import DOCS

from wigeonford.cli._commands import build_parser

ROOT = DOCS.parent
LINK = re.compile(r"\]\(([^)#]+\.md)\)")
COMMAND = re.compile(r"^    wigeonford (.+)$", re.MULTILINE)


def links_of(page: Path) -> set[Path]:
    """Return the pages that a page links to."""
    found = LINK.findall(page.read_text())
    return {(page.parent / name).resolve() for name in found}


class DocsTest(unittest.TestCase):
    """Read every page as a newcomer would."""

    def test_every_page_is_two_steps_from_readme(self) -> None:
        first = links_of(ROOT / "README.md")
        second = {page for near in first for page in links_of(near)}
        pages = {page.resolve() for page in DOCS.rglob("*.md")}
        self.assertEqual(pages - first - second, set())

    def test_links_lead_to_pages(self) -> None:
        for page in (ROOT / "README.md", *DOCS.rglob("*.md")):
            for target in links_of(page):
                self.assertTrue(target.exists(), f"{page} to {target}")

    def test_commands_are_valid(self) -> None:
        parser = build_parser()
        for page in (ROOT / "README.md", *DOCS.rglob("*.md")):
            for line in COMMAND.findall(page.read_text()):
                errors = io.StringIO()
                with (
                    self.subTest(page=page.name, line=line),
                    contextlib.redirect_stderr(errors),
                ):
                    args = parser.parse_args(shlex.split(line))
                    self.assertTrue(callable(args.run), errors.getvalue())
