"""README links to all pages, and the commands on them are valid."""

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


def find_links(page: Path) -> set[Path]:
    """Return the pages that a page links to."""
    found = LINK.findall(page.read_text())
    return {(page.parent / name).resolve() for name in found}


class DocsTest(unittest.TestCase):
    """Check the links and the command lines of every page."""

    def test_every_page_is_two_steps_from_readme(self) -> None:
        first = find_links(ROOT / "README.md")
        second = {page for linked in first for page in find_links(linked)}
        pages = {page.resolve() for page in DOCS.rglob("*.md")}
        self.assertEqual(pages - first - second, set())

    def test_links_lead_to_pages(self) -> None:
        for page in (ROOT / "README.md", *DOCS.rglob("*.md")):
            for linked in find_links(page):
                self.assertTrue(linked.exists(), f"{page} links to {linked}")

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
