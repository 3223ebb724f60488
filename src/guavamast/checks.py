"""Checks of a file that is either an instance's settings or a fleet configuration."""

from __future__ import annotations

from typing import Final

from guavamast.findings import Finding, FindingCode, FindingsError
from guavamast.fleet import FLEET_SECTIONS, check_configuration
from guavamast.inifile import IniFile, read_ini
from guavamast.schema import find_nearest
from guavamast.settings import SETTINGS_SECTIONS, parse_settings, read_text

_FLEET_WORDS: Final = frozenset(kind.kind for kind in FLEET_SECTIONS) - {"instance"}
_SETTINGS_WORDS: Final = frozenset(kind.kind for kind in SETTINGS_SECTIONS) - {"instance"}


def check_file(path: str) -> list[Finding]:
    """Return all findings of a file, in order of place."""
    try:
        text = read_text(path)
    except FindingsError as error:
        return error.findings
    return check_text(text, file=path)


def check_text(text: str, *, file: str) -> list[Finding]:
    """Return all findings of a text.

    Args:
        text: Instance settings or a fleet configuration; its sections tell which.
        file: Name to report.

    Returns:
        Findings in order of place.
    """
    ini = read_ini(text, file=file)
    if not ini.sections and not ini.findings:
        message = "has no section"
        return [Finding(file=file, line=0, code=FindingCode.SYNTAX, message=message)]
    if is_fleet(ini):
        return check_configuration(text, file=file)
    try:
        parse_settings(text, file=file)
    except FindingsError as error:
        return error.findings
    return []


def is_fleet(ini: IniFile) -> bool:
    """Return whether a file's sections, misspelt ones included, are those of a fleet."""
    votes = 0
    for section in ini.sections:
        word, _, name = section.name.strip().partition(" ")
        if word == "instance":
            votes += 1 if name else -1
            continue
        nearest = find_nearest(word, _FLEET_WORDS | _SETTINGS_WORDS)
        votes += (nearest in _FLEET_WORDS) - (nearest in _SETTINGS_WORDS)
    return votes > 0
