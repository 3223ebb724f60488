"""Checks of files that are instances' settings or fleet configurations."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.findings import Finding, FindingCode, FindingsError
from guavamast.fleet import FLEET_SECTIONS, check_configuration
from guavamast.inifile import IniFile, read_ini
from guavamast.schema import find_nearest
from guavamast.settings import SETTINGS_SECTIONS, parse_settings, read_text

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

_FLEET_WORDS: Final = frozenset(kind.kind for kind in FLEET_SECTIONS) - {"instance"}
_OWN_KEYS: Final = (("instance", "name"), ("listen", "callers"), ("listen", "peers"))
"""Section and key of what each instance has for itself."""
_SETTINGS_WORDS: Final = frozenset(kind.kind for kind in SETTINGS_SECTIONS) - {"instance"}


def check_files(paths: Sequence[str]) -> list[Finding]:
    """Return all findings of some files, by file and in order of place.

    Settings of several instances are also compared: two of one name would be taken for one
    instance that keeps restarting.
    """
    findings: list[Finding] = []
    owners: dict[tuple[str, str, str], str] = {}
    for path in dict.fromkeys(paths):
        try:
            text = read_text(path)
        except FindingsError as error:
            findings += error.findings
            continue
        found = [*check_text(text, file=path), *_check_owners(text, path, owners)]
        findings += sorted(found, key=lambda finding: finding.line)
    return findings


def _check_owners(
    text: str, path: str, owners: dict[tuple[str, str, str], str]
) -> Iterator[Finding]:
    """Yield a finding for each name and address that an earlier file has."""
    sections = {section.name: section for section in read_ini(text, file=path).sections}
    for section, key in _OWN_KEYS:
        entry = sections[section].entries.get(key) if section in sections else None
        if entry is None or entry.value.endswith(":0"):
            continue
        owner = owners.setdefault((section, key, entry.value), path)
        if owner != path:
            message = f"{key}: {entry.value} is also in {owner}"
            code = FindingCode.DUPLICATE_VALUE
            yield Finding(file=path, line=entry.line, code=code, message=message)


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
