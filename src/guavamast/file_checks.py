"""Checks of files with instance settings or fleet configurations."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.findings import Finding, FindingCode, FindingsError
from guavamast.fleet import FLEET_SECTIONS, check_configuration
from guavamast.inifile import IniFile, read_ini
from guavamast.schema import find_nearest
from guavamast.settings import SETTINGS_SECTIONS, parse_settings, read_text

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

_FLEET_KINDS: Final = frozenset(kind.kind for kind in FLEET_SECTIONS) - {"instance"}
_UNIQUE_KEYS: Final = (("instance", "name"), ("listen", "callers"), ("listen", "peers"))
"""Section and key of the values that no two instances may share."""
_SETTINGS_KINDS: Final = frozenset(kind.kind for kind in SETTINGS_SECTIONS) - {"instance"}


def check_files(paths: Sequence[str]) -> list[Finding]:
    """Return all findings of some files, in the order of the files and sorted by line.

    Settings of several instances are also compared. Without this, two with one name would look like
    one instance that keeps restarting.
    """
    findings: list[Finding] = []
    owners: dict[tuple[str, str, str], str] = {}
    for path in dict.fromkeys(paths):
        try:
            text = read_text(path)
        except FindingsError as error:
            findings += error.findings
            continue
        file_findings = [*check_text(text, file=path), *_check_unique(text, path, owners)]
        findings += sorted(file_findings, key=lambda finding: finding.line)
    return findings


def _check_unique(
    text: str, path: str, owners: dict[tuple[str, str, str], str]
) -> Iterator[Finding]:
    """Yield a finding for each name or address that an earlier file has too."""
    sections = {section.name: section for section in read_ini(text, file=path).sections}
    for section, key in _UNIQUE_KEYS:
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
        text: Instance settings or a fleet configuration; the sections decide which.
        file: Name to report in findings.

    Returns:
        Findings sorted by line.
    """
    ini = read_ini(text, file=file)
    if not ini.sections and not ini.findings:
        message = "has no sections"
        return [Finding(file=file, line=0, code=FindingCode.SYNTAX, message=message)]
    if is_fleet(ini):
        return check_configuration(text, file=file)
    try:
        parse_settings(text, file=file)
    except FindingsError as error:
        return error.findings
    return []


def is_fleet(ini: IniFile) -> bool:
    """Return whether the sections, misspelt ones included, are mostly of a fleet configuration."""
    balance = 0
    for section in ini.sections:
        kind, _, name = section.name.strip().partition(" ")
        if kind == "instance":
            balance += 1 if name else -1
            continue
        nearest = find_nearest(kind, _FLEET_KINDS | _SETTINGS_KINDS)
        balance += (nearest in _FLEET_KINDS) - (nearest in _SETTINGS_KINDS)
    return balance > 0
