"""Property tests of the checkers: an invalid text gives findings and no other exception."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from guavamast.findings import FindingsError
from guavamast.fleet import check_configuration, parse_configuration
from guavamast.inifile import read_ini
from guavamast.settings import parse_settings
from tests.test_fleet import VALID_FLEET as FLEET
from tests.test_settings import VALID_SETTINGS as SETTINGS

LINES = st.sampled_from([*FLEET.splitlines(), *SETTINGS.splitlines(), "", "  tail", "=", "[", "[]"])
ARBITRARY_TEXT = st.text(alphabet=st.characters(codec="utf-8"), max_size=40)
TEXTS = st.lists(LINES | ARBITRARY_TEXT, max_size=60).map("\n".join)


@st.composite
def edit_fleets(draw: st.DrawFn) -> str:
    """Return the valid configuration with up to 4 values, keys or lines replaced."""
    lines = FLEET.splitlines()
    for _ in range(draw(st.integers(0, 4))):
        index = draw(st.integers(0, len(lines) - 1))
        key = lines[index].partition("=")[0]
        value = draw(
            ARBITRARY_TEXT | st.sampled_from(["0", "-1", "1e999", "9" * 5000, "nan", "²", "a:b"])
        )
        lines[index] = draw(st.sampled_from([f"{key}= {value}", value, "", lines[index - 1]]))
    return "\n".join(lines)


class CheckerProperties(unittest.TestCase):
    """The parsers and checkers return an object, or findings with a line of the text."""

    @given(TEXTS | edit_fleets())
    def test_fleet_text_gives_findings_or_a_configuration(self, text: str) -> None:
        findings = check_configuration(text, file="f")
        for finding in findings:
            self.assertLessEqual(0, finding.line)
            self.assertLessEqual(finding.line, text.count("\n") + 1)
        try:
            configuration = parse_configuration(text, file="f", version=3)
        except FindingsError as error:
            self.assertEqual(error.findings, findings)
        else:
            self.assertEqual(findings, [])
            self.assertEqual(configuration.version, 3)

    @given(TEXTS)
    def test_settings_text_gives_findings_or_settings(self, text: str) -> None:
        try:
            parse_settings(text, file="f")
        except FindingsError as error:
            self.assertTrue(error.findings)

    def test_a_text_without_a_file_name(self) -> None:
        # configparser raises ValueError for a syntax error in a source with an empty name.
        self.assertEqual(len(read_ini("junk\n", file="").findings), 1)

    @given(TEXTS | edit_fleets())
    def test_line_numbers_match_the_text(self, text: str) -> None:
        lines = text.split("\n")
        for section in read_ini(text, file="f").sections:
            self.assertIn(f"[{section.name}]", lines[section.line - 1])
            for key, entry in section.entries.items():
                self.assertIn(key, lines[entry.line - 1])
                self.assertIn(entry.value.split("\n")[0], lines[entry.line - 1])
