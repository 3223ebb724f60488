"""Incremental reader of accepted versions of the fleet's configuration."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Final

from guavamast.fleet import (
    FLEET_SECTIONS,
    build_configuration,
    build_section_object,
    parse_configuration,
)
from guavamast.inifile import read_ini
from guavamast.schema import SchemaReader

if TYPE_CHECKING:
    from guavamast.fleet import SectionObject
    from guavamast.fleet_objects import Configuration

_HEADER: Final = re.compile(r"^(?=\[)", re.MULTILINE)
"""Start of a section: a line with a bracket in its first column. A value can't contain such a
line, as its continuation lines are indented."""


class IncrementalReader:
    """Reads successive accepted versions and parses only the sections that changed.

    Parsing a text with thousands of organisations takes a second. Without this, each change,
    however small, blocks every request of the event loop for that time. Sections with unchanged
    text keep their objects. Checks across sections are skipped, as the whole text was checked
    when it was proposed. A text that can't be split into sections is parsed as a whole, with all
    checks.
    """

    __slots__ = ("_objects",)

    def __init__(self) -> None:
        self._objects: dict[str, SectionObject] = {}

    def read(self, text: str, *, version: int) -> Configuration:
        """Return the configuration of an accepted version.

        Args:
            text: The INI text.
            version: Number of the version.

        Returns:
            The configuration; equal to the result of `parse_configuration`.

        Raises:
            FindingsError: This release doesn't accept the text as a configuration.
        """
        objects = self._read_objects(text)
        if objects is None:
            self._objects = {}
            return parse_configuration(text, file=f"version {version}", version=version)
        self._objects = objects
        return build_configuration(objects.values(), text=text, version=version)

    def _read_objects(self, text: str) -> dict[str, SectionObject] | None:
        """Return the objects by section text, or None when the text can't be split."""
        preamble_text, *sections = _HEADER.split(text)
        preamble = read_ini(preamble_text, file="")
        if preamble.findings or preamble.sections:
            return None
        objects: dict[str, SectionObject] = {}
        for section in sections:
            section_object = self._objects.get(section) or read_section_object(section)
            if section_object is None:
                return None
            objects[section] = section_object
        return objects


def read_section_object(text: str) -> SectionObject | None:
    """Return the object of a section's text, or None when that isn't one valid section."""
    reader = SchemaReader(ini=read_ini(text, file=""), kinds=FLEET_SECTIONS)
    reader.read()
    if reader.findings or len(reader.sections) != 1:
        return None
    return build_section_object(reader.sections[0])
