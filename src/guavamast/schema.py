"""Schemas of INI files and a reader that applies them and collects faults as findings."""

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
"""Default of a key that has to be written."""
_MIN_SIMILARITY: Final = 0.5
"""Lowest similarity at which a name is suggested; 1 means equal (difflib's ratio)."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Key:
    """A key that a kind of section may have."""

    name: str
    type: ValueType
    meaning: str
    default: Any = REQUIRED


@dataclass(frozen=True, slots=True, kw_only=True)
class SectionKind:
    """A kind of section: ``[kind]`` once, or ``[kind NAME]`` any number of times."""

    kind: str
    keys: tuple[Key, ...]
    named: bool = False
    name_type: ValueType = NAME
    name_form: str = "NAME"
    required: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ParsedSection:
    """A section of known kind with a valid name and its parsed values."""

    kind: str
    name: str
    line: int
    values: dict[str, Any]
    """Includes the defaults; lacks keys that are missing or have an invalid value."""
    lines: dict[str, int]

    def find_line(self, key: str) -> int:
        """Return the line of a key, or that of the section when the key isn't written."""
        return self.lines.get(key, self.line)


class SchemaReader:
    """Reads the sections of a file by a schema and collects the findings.

    Args:
        ini: The parsed file.
        kinds: Kinds of section that the file may have.
    """

    __slots__ = ("_ini", "_kinds", "_names", "findings", "sections")

    def __init__(self, *, ini: IniFile, kinds: Iterable[SectionKind]) -> None:
        self._ini = ini
        self._kinds = {kind.kind: kind for kind in kinds}
        self.findings: list[Finding] = list(ini.findings)
        self.sections: list[ParsedSection] = []
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

    def list_sections(self, kind: str) -> list[ParsedSection]:
        """Return the sections of one kind, in order."""
        return [section for section in self.sections if section.kind == kind]

    def add(self, line: int, code: FindingCode, message: str) -> None:
        """Add a finding."""
        self.findings.append(Finding(file=self._ini.file, line=line, code=code, message=message))

    def _read_section(self, section: Section) -> None:
        kind_word, name = _split_header(section.name)
        kind = self._kinds.get(kind_word)
        if kind is None:
            hint = format_suggestion(kind_word, self._kinds)
            self.add(section.line, FindingCode.UNKNOWN_SECTION, f"[{section.name}]{hint}")
            return
        if not self._check_name(section, kind, name):
            return
        parsed = ParsedSection(kind=kind_word, name=name, line=section.line, values={}, lines={})
        known = {key.name: key for key in kind.keys}
        for key_name, entry in section.entries.items():
            if key_name not in known:
                hint = format_suggestion(key_name, known)
                message = f"{key_name} in [{section.name}]{hint}"
                self.add(entry.line, FindingCode.UNKNOWN_KEY, message)
                continue
            parsed.lines[key_name] = entry.line
            self._read_value(parsed, known[key_name], entry.value)
        self._fill_defaults(parsed, kind, section)
        self.sections.append(parsed)

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
            message = f"[{kind.kind} {name}] is already defined above"
            self.add(section.line, FindingCode.DUPLICATE_SECTION, message)
            return False
        self._names.add((kind.kind, name))
        return True

    def _read_value(self, parsed: ParsedSection, key: Key, text: str) -> None:
        try:
            parsed.values[key.name] = key.type.parse(text)
        except Fault as fault:
            self.add(parsed.lines[key.name], fault.code, f"{key.name}: {fault.message}")

    def _fill_defaults(self, parsed: ParsedSection, kind: SectionKind, section: Section) -> None:
        for key in kind.keys:
            if key.name in section.entries:
                continue
            if key.default is REQUIRED:
                message = f"[{section.name}] has no {key.name}"
                self.add(section.line, FindingCode.MISSING_KEY, message)
            else:
                parsed.values[key.name] = key.default


def _split_header(header: str) -> tuple[str, str]:
    """Return the kind and the name of a section's header."""
    kind_word, _, name = header.strip().partition(" ")
    return kind_word, name.strip()


def format_suggestion(word: str, known: Iterable[str]) -> str:
    """Return a hint with the most similar known name, or all known names when none is similar."""
    names = sorted(known)
    nearest = find_nearest(word, names)
    if nearest:
        return f" is not known; did you mean {nearest}?"
    return f" is not known; known are {', '.join(names)}" if names else " is not known"


def find_nearest(word: str, known: Iterable[str]) -> str:
    """Return the known name with the most similar spelling; empty when none is similar."""
    near = get_close_matches(word.lower(), sorted(known), n=1, cutoff=_MIN_SIMILARITY)
    return near[0] if near else ""
