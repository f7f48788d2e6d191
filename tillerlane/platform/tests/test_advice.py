"""The page on targets' headers, and the headers that the adapter uses."""

import pathlib
import re
import unittest

from tillerlane.platform import wire

PAGE = pathlib.Path(__file__).resolve().parents[3] / "docs" / "design" / "advice.md"
_ROW = re.compile(r"^\| `([A-Z][A-Za-z-]*)` \| [^|]* \| [^|]* \| ([^|]*) \|", re.MULTILINE)
VALUES = {"close"}
"""Literals in the adapter that are header values."""
_LITERAL = re.compile(r'\bb"([A-Za-z]+(?:-[A-Za-z]+)*)"')


class PageTest(unittest.TestCase):
    """The page and the adapter have the same headers."""

    def setUp(self) -> None:
        """Collect names on the page and in the adapter's source."""
        rows = _ROW.findall(PAGE.read_text())
        self.listed = {name.lower(): where for name, where in rows}
        source = pathlib.Path(wire.__file__).read_text()
        self.known = {name.lower() for name in _LITERAL.findall(source)} - VALUES

    def test_header_that_is_read_or_set_is_missing_on_the_page(self) -> None:
        self.assertGreater(len(self.known), 15)
        self.assertEqual(self.known - set(self.listed), set())

    def test_page_names_a_header_as_read_that_is_not(self) -> None:
        read = {name for name, where in self.listed.items() if "wire." in where}
        self.assertGreater(len(read), 10)
        self.assertEqual(read - self.known, set())


if __name__ == "__main__":
    unittest.main()
