"""INI parser that records the line of each section and key and collects faults as findings."""

from __future__ import annotations

import configparser
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from guavamast.findings import Finding, FindingCode

if TYPE_CHECKING:
    from collections.abc import Iterator

_TOP: Final = "\x00top"
"""Section for keys above the first header; without it configparser stops at them."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """The value of a key and its line."""

    value: str
    line: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Section:
    """A section with its keys in order."""

    name: str
    line: int
    entries: dict[str, Entry] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class IniFile:
    """The sections of a text, in order, and its syntax findings."""

    file: str
    sections: tuple[Section, ...]
    findings: tuple[Finding, ...]


def read_ini(text: str, *, file: str) -> IniFile:
    """Parse INI text.

    Args:
        text: The whole text.
        file: Name to report in findings.

    Returns:
        Everything that could be parsed, with all syntax faults and duplicates as findings.
    """
    reader = _Reader(text=text, file=file)
    sections = reader.read()
    return IniFile(file=file, sections=tuple(sections), findings=tuple(reader.findings))


class _LineDict(dict):
    """Dictionary of the parser that reports each section and key when it is stored.

    The parser stores a section as such a dictionary, and the value of a key as a list of lines
    that it joins to a string only after the last line.
    """

    reader: _Reader

    def __init__(self) -> None:
        super().__init__()
        self.lines: dict[str, int] = {}

    def __setitem__(self, key: str, value: Any) -> None:
        if self.reader.reading and isinstance(value, _LineDict):
            self.reader.record_section(key, value)
        elif self.reader.reading and isinstance(value, list):
            self.reader.record_key(key, self)
        super().__setitem__(key, value)

    def __getitem__(self, key: str) -> Any:
        value = super().__getitem__(key)
        if self.reader.reading and isinstance(value, _LineDict):
            self.reader.report_duplicate_section(key)
        return value


class _Reader:
    """Runs configparser over the lines and records the line of each section and key.

    configparser keeps no line numbers, and its strict mode stops at the first duplicate. A custom
    ``dict_type`` observes every store, and `_iterate_lines` tracks the current line.
    """

    __slots__ = ("_line", "_lines", "_stored", "file", "findings", "reading")

    def __init__(self, *, text: str, file: str) -> None:
        self.file = file
        self.findings: list[Finding] = []
        self.reading = False
        self._line = 0
        self._lines = text.removeprefix("\ufeff").split("\n")
        self._stored: list[tuple[str, int, _LineDict]] = []

    def read(self) -> list[Section]:
        """Return all sections; faults of the text become findings and never raise."""
        parser = self._create_parser()
        self.reading = True
        try:
            parser.read_file(self._iterate_lines(), source=_TOP)
        except configparser.ParsingError as error:
            for number, _ in error.errors:
                self._add(number - 1, FindingCode.SYNTAX, "is neither [section] nor key = value")
        finally:
            self.reading = False
        return [
            self._build_section(name, line, stored)
            for name, line, stored in self._stored
            if name != _TOP
        ]

    def record_section(self, name: str, stored: _LineDict) -> None:
        """Record the header of a new section at the current line."""
        self._stored.append((name, self._line, stored))
        if name != _TOP and not self._lines[self._line - 1].strip().endswith("]"):
            self._add(self._line, FindingCode.SYNTAX, "has text after the section's ]")

    def report_duplicate_section(self, name: str) -> None:
        """Report a repeated header."""
        self._add(self._line, FindingCode.DUPLICATE_SECTION, f"[{name}] is already defined above")

    def record_key(self, key: str, section: _LineDict) -> None:
        """Record a key at the current line and report duplicates and keys without a section."""
        if key in section.lines:
            self._add(self._line, FindingCode.DUPLICATE_KEY, f"{key} is already set above")
        section.lines[key] = self._line
        if self._stored[-1][0] == _TOP:
            self._add(self._line, FindingCode.SYNTAX, f"{key} precedes the first [section]")

    def _build_section(self, name: str, line: int, stored: _LineDict) -> Section:
        entries = {
            key: Entry(value=value, line=stored.lines[key]) for key, value in stored.items() if key
        }
        return Section(name=name, line=line, entries=entries)

    def _create_parser(self) -> configparser.RawConfigParser:
        parser = configparser.RawConfigParser(
            dict_type=type("_BoundLineDict", (_LineDict,), {"reader": self}),
            delimiters=("=",),
            comment_prefixes=("#", ";"),
            strict=False,
            empty_lines_in_values=False,
            default_section="",
        )
        parser.optionxform = str  # type: ignore[assignment, method-assign]
        return parser

    def _iterate_lines(self) -> Iterator[str]:
        yield f"[{_TOP}]\n"
        for number, line in enumerate(self._lines, start=1):
            self._line = number
            yield f"{line}\n"

    def _add(self, line: int, code: FindingCode, message: str) -> None:
        self.findings.append(Finding(file=self.file, line=line, code=code, message=message))
