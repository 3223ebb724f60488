"""Property test: incremental reading of a version equals parsing its whole text."""

from __future__ import annotations

import contextlib
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from guavamast import fleet_reader
from guavamast.findings import FindingsError
from guavamast.fleet import parse_configuration
from guavamast.fleet_reader import IncrementalReader
from tests.test_fleet import VALID_FLEET
from tests.test_fleet_properties import edit_fleets

SECTIONS = VALID_FLEET.split("\n[")


@st.composite
def shuffle_fleets(draw: st.DrawFn) -> str:
    """Return the valid configuration with sections reordered, left out or repeated."""
    first, *others = [SECTIONS[0], *(f"[{section}" for section in SECTIONS[1:])]
    indented = [f" {section}" for section in others]
    start = draw(st.sampled_from(["# remark", "", " [model tiny]", first]))
    return "\n".join([start, *draw(st.lists(st.sampled_from(others + indented), max_size=12))])


class IncrementalReaderProperties(unittest.TestCase):
    """Incremental and full parsing agree on every text that can be accepted."""

    @given(
        st.lists(edit_fleets() | shuffle_fleets() | st.just(VALID_FLEET), min_size=1, max_size=6)
    )
    def test_equals_a_full_parse(self, texts: list[str]) -> None:
        reader = IncrementalReader()
        for version, text in enumerate(texts, start=1):
            try:
                full = parse_configuration(text, file="f", version=version)
            except FindingsError:
                # Such a text is never accepted; reading it must not affect the next version.
                with contextlib.suppress(FindingsError):
                    reader.read(text, version=version)
                continue
            read = reader.read(text, version=version)
            self.assertEqual(read, full)
            self.assertEqual(list(read.endpoints), list(full.endpoints))

    def test_parses_only_changed_sections(self) -> None:
        reader = IncrementalReader()
        before = reader.read(VALID_FLEET, version=1)
        with mock.patch.object(
            fleet_reader, "read_section_object", wraps=fleet_reader.read_section_object
        ) as read:
            after = reader.read(VALID_FLEET.replace("slots = 8", "slots = 9"), version=2)
        self.assertEqual(read.call_count, 1)
        self.assertEqual(after.endpoints["engine-1"].slots, 9)
        self.assertIs(after.organisations["agence"], before.organisations["agence"])
