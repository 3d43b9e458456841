"""The pages generated from the code are up to date."""

import unittest

from tools.pages import DOCS, PAGES, render

from wigeonford.errors import Code
from wigeonford.events import Event


class PagesTest(unittest.TestCase):
    """Compare the committed pages with newly rendered ones."""

    def test_pages_match_code(self) -> None:
        for name in PAGES:
            with self.subTest(page=name):
                self.assertEqual((DOCS / name).read_text(), render(name))

    def test_numbers_are_unique(self) -> None:
        for family in (Code, Event):
            numbers = [member.value.number for member in family]
            self.assertEqual(len(numbers), len(set(numbers)))
