"""Sections and keys of an INI file, read by a schema; faults are collected as findings."""

from __future__ import annotations

from dataclasses import dataclass
from difflib import get_close_matches
from typing import TYPE_CHECKING, Any, Final

from guavamast.findings import Finding, FindingCode
from guavamast.value_types import NAME, Fault

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavamast.inifile import IniFile, Section
    from guavamast.value_types import ValueType

REQUIRED: Final = object()
"""Marks a key without a default."""
_NEAR: Final = 0.5
"""Least likeness of a name that is suggested, of 1 for the same name."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Key:
    """One key of a kind of section."""

    name: str
    type: ValueType
    meaning: str
    default: Any = REQUIRED


@dataclass(frozen=True, slots=True, kw_only=True)
class SectionKind:
    """One kind of section: ``[kind]``, or ``[kind NAME]`` any number of times."""

    kind: str
    keys: tuple[Key, ...]
    named: bool = False
    name_type: ValueType = NAME
    name_form: str = "NAME"
    required: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadSection:
    """A section whose kind, name and values were understood."""

    kind: str
    name: str
    line: int
    values: dict[str, Any]
    """Complete with the defaults; a key whose value was refused, or is missing, isn't there."""
    lines: dict[str, int]

    def find_line(self, key: str) -> int:
        """Return the line of a key, or of the section when the key isn't written."""
        return self.lines.get(key, self.line)


class SchemaReader:
    """Reads the sections of one file by a schema and collects the findings.

    Args:
        ini: The file.
        kinds: The kinds of section that it may have.
    """

    __slots__ = ("_ini", "_kinds", "_names", "findings", "sections")

    def __init__(self, *, ini: IniFile, kinds: Iterable[SectionKind]) -> None:
        self._ini = ini
        self._kinds = {kind.kind: kind for kind in kinds}
        self.findings: list[Finding] = list(ini.findings)
        self.sections: list[ReadSection] = []
        self._names: set[tuple[str, str]] = set()

    def read(self) -> None:
        """Read all sections."""
        for section in self._ini.sections:
            self._read_section(section)
        present = {
            section.name.split()[0] for section in self._ini.sections if section.name.split()
        }
        for kind in self._kinds.values():
            if kind.required and kind.kind not in present:
                self.add(0, FindingCode.MISSING_SECTION, f"[{kind.kind}] is missing")

    def list_sections(self, kind: str) -> list[ReadSection]:
        """Return the sections of one kind, in order."""
        return [section for section in self.sections if section.kind == kind]

    def add(self, line: int, code: FindingCode, message: str) -> None:
        """Add a finding."""
        self.findings.append(Finding(file=self._ini.file, line=line, code=code, message=message))

    def _read_section(self, section: Section) -> None:
        word, name = _split_name(section.name)
        kind = self._kinds.get(word)
        if kind is None:
            hint = suggest(word, self._kinds)
            self.add(section.line, FindingCode.UNKNOWN_SECTION, f"[{section.name}]{hint}")
            return
        if not self._check_name(section, kind, name):
            return
        read = ReadSection(kind=word, name=name, line=section.line, values={}, lines={})
        known = {key.name: key for key in kind.keys}
        for key_name, entry in section.entries.items():
            if key_name not in known:
                hint = suggest(key_name, known)
                message = f"{key_name} in [{section.name}]{hint}"
                self.add(entry.line, FindingCode.UNKNOWN_KEY, message)
                continue
            read.lines[key_name] = entry.line
            self._read_value(read, known[key_name], entry.value)
        self._fill_defaults(read, kind, section)
        self.sections.append(read)

    def _check_name(self, section: Section, kind: SectionKind, name: str) -> bool:
        if not kind.named:
            if name:
                message = f"[{section.name}] takes no name; write [{kind.kind}]"
                self.add(section.line, FindingCode.BAD_NAME, message)
            return not name
        try:
            kind.name_type.parse(name)
        except Fault as fault:
            form = f"[{kind.kind} {kind.name_form}]"
            message = f"[{section.name}] is not {form}: {fault.message}"
            self.add(section.line, FindingCode.BAD_NAME, message)
            return False
        if (kind.kind, name) in self._names:
            message = f"[{kind.kind} {name}] stands above already"
            self.add(section.line, FindingCode.DUPLICATE_SECTION, message)
            return False
        self._names.add((kind.kind, name))
        return True

    def _read_value(self, read: ReadSection, key: Key, text: str) -> None:
        try:
            read.values[key.name] = key.type.parse(text)
        except Fault as fault:
            self.add(read.lines[key.name], fault.code, f"{key.name}: {fault.message}")

    def _fill_defaults(self, read: ReadSection, kind: SectionKind, section: Section) -> None:
        for key in kind.keys:
            if key.name in section.entries:
                continue
            if key.default is REQUIRED:
                message = f"[{section.name}] has no {key.name}"
                self.add(section.line, FindingCode.MISSING_KEY, message)
            else:
                read.values[key.name] = key.default


def _split_name(header: str) -> tuple[str, str]:
    """Return the kind and the name of a section's header."""
    word, _, name = header.strip().partition(" ")
    return word, name.strip()


def suggest(word: str, known: Iterable[str]) -> str:
    """Return a hint with the nearest known name, or the known names when none is near."""
    names = sorted(known)
    nearest = find_nearest(word, names)
    if nearest:
        return f" is not known; did you mean {nearest}?"
    return f" is not known; known are {', '.join(names)}" if names else " is not known"


def find_nearest(word: str, known: Iterable[str]) -> str:
    """Return the known name that is spelt most alike; empty when none is near."""
    near = get_close_matches(word.lower(), sorted(known), n=1, cutoff=_NEAR)
    return near[0] if near else ""
