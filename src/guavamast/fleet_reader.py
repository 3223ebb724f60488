"""Reads accepted versions of the fleet's configuration, each from the one before it."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Final

from guavamast.fleet import FLEET_SECTIONS, assemble, make_part, parse_configuration
from guavamast.inifile import read_ini
from guavamast.schema import SchemaReader

if TYPE_CHECKING:
    from guavamast.fleet import Part
    from guavamast.world import Configuration

_HEADER: Final = re.compile(r"^(?=\[)", re.MULTILINE)
"""A line that begins with a bracket in its first column is a section's header: a value goes on
only over indented lines."""


class AcceptedReader:
    """Reads one accepted version after the other.

    Failure: thousands of organisations make reading a text last a second, and each change, however
    small, holds up every request of the loop for that time. The sections whose text stays keep
    their objects; only the others are read. The checks across sections are left out, as the whole
    text was checked when it was proposed. A text that can't be cut into its sections is read as a
    whole, with all checks.
    """

    __slots__ = ("_parts",)

    def __init__(self) -> None:
        self._parts: dict[str, Part] = {}

    def read(self, text: str, *, version: int) -> Configuration:
        """Return an accepted version.

        Args:
            text: Its text.
            version: Its number.

        Returns:
            The configuration, equal to that of `parse_configuration`.

        Raises:
            FindingsError: The text is not a configuration of this release.
        """
        parts = self._read_parts(text)
        if parts is None:
            self._parts = {}
            return parse_configuration(text, file=f"version {version}", version=version)
        self._parts = parts
        return assemble(parts.values(), text=text, version=version)

    def _read_parts(self, text: str) -> dict[str, Part] | None:
        """Return the parts by the text of their section, or None when it can't be cut."""
        top, *sections = _HEADER.split(text)
        above = read_ini(top, file="")
        if above.findings or above.sections:
            return None
        parts: dict[str, Part] = {}
        for section in sections:
            part = self._parts.get(section) or read_part(section)
            if part is None:
                return None
            parts[section] = part
        return parts


def read_part(text: str) -> Part | None:
    """Return the part of one section's text, or None when that isn't one whole section."""
    reader = SchemaReader(ini=read_ini(text, file=""), kinds=FLEET_SECTIONS)
    reader.read()
    if reader.findings or len(reader.sections) != 1:
        return None
    return make_part(reader.sections[0])
