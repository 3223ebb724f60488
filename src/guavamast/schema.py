"""Sections and keys of an INI file with their types, ranges and defaults."""

from __future__ import annotations

import ipaddress
import re
from abc import ABC, abstractmethod
from dataclasses import dataclass
from difflib import get_close_matches
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import urlsplit

from guavamast.findings import Finding, FindingCode

if TYPE_CHECKING:
    from collections.abc import Iterable
    from enum import StrEnum

    from guavamast.inifile import IniFile, Section

NAME_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]*")
"""Names of sections of a kind; without dots, which part a service from its call."""
_VERSION_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/@+-]*")
_NUMBER_PATTERN: Final = re.compile(r"[-+]?[0-9.]+(?:[eE][-+]?[0-9]+)?")
"""Python's own digits of other scripts, underscores, ``nan`` and ``inf`` are not taken."""
_QUANTITY_PATTERN: Final = re.compile(r"([-+]?[0-9.]+(?:[eE][-+]?[0-9]+)?)\s*([A-Za-z%/µ]+)")
_UNIT_SECONDS: Final = {
    "us": 1e-6,
    "ms": 1e-3,
    "s": 1.0,
    "sec": 1.0,
    "seconds": 1.0,
    "m": 60.0,
    "min": 60.0,
    "h": 3600.0,
    "d": 86400.0,
}
"""Units that people write after a number, in seconds."""
_NEAR: Final = 0.5
"""Least likeness of a name that is suggested, of 1 for the same name."""
_MAX_PORT: Final = 65535
REQUIRED: Final = object()
"""Marks a key without a default."""


class Fault(Exception):
    """A value that can't be taken.

    Args:
        code: What is wrong.
        message: What to write in its place.
    """

    def __init__(self, code: FindingCode, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message


class ValueType(ABC):
    """Reads the text of one value."""

    @abstractmethod
    def parse(self, text: str) -> Any:
        """Return the value, or raise `Fault`."""

    @abstractmethod
    def describe(self) -> str:
        """Return what may be written, for the settings page."""


class Number(ValueType):
    """A number in a stated unit and range.

    Args:
        minimum: Smallest value.
        maximum: Largest value.
        unit: Unit to name in findings; empty for a plain count.
        whole: Whether only whole numbers are taken.
    """

    __slots__ = ("maximum", "minimum", "unit", "whole")

    def __init__(
        self, *, minimum: float, maximum: float, unit: str = "", whole: bool = False
    ) -> None:
        self.minimum = minimum
        self.maximum = maximum
        self.unit = unit
        self.whole = whole

    def parse(self, text: str) -> float:
        """Return the number."""
        if not _NUMBER_PATTERN.fullmatch(text):
            raise self._explain(text)
        try:
            value = int(text) if self.whole else float(text)
        except ValueError:
            raise self._explain(text) from None
        if not self.minimum <= value <= self.maximum:
            raise Fault(FindingCode.OUT_OF_RANGE, f"{text} is not {self.describe()}")
        return value

    def describe(self) -> str:
        """Return the range with its unit."""
        kind = "whole number" if self.whole else "number"
        unit = f" {self.unit}" if self.unit else ""
        return f"a {kind} from {self.minimum:.12g} to {self.maximum:.12g}{unit}"

    def _explain(self, text: str) -> Fault:
        quantity = _QUANTITY_PATTERN.fullmatch(text)
        if quantity is None:
            return Fault(FindingCode.BAD_VALUE, f"{text!r} is not {self.describe()}")
        hint = self._convert(quantity.group(1), quantity.group(2))
        unit = f"is in {self.unit}" if self.unit else "is a plain number"
        return Fault(FindingCode.WRONG_UNIT, f"{text!r}: the value {unit}, written alone{hint}")

    def _convert(self, digits: str, unit: str) -> str:
        if unit not in _UNIT_SECONDS or self.unit not in _UNIT_SECONDS:
            return ""
        try:
            value = float(digits) * _UNIT_SECONDS[unit] / _UNIT_SECONDS[self.unit]
        except ValueError:
            return ""
        return f"; write {value:.12g}"


class Choice(ValueType):
    """One of a few words.

    Args:
        words: Each word with the value it stands for.
    """

    __slots__ = ("words",)

    def __init__(self, words: dict[str, Any]) -> None:
        self.words = words

    def parse(self, text: str) -> Any:
        """Return what the word stands for."""
        if text not in self.words:
            raise Fault(FindingCode.BAD_VALUE, f"{text!r} is not {self.describe()}")
        return self.words[text]

    def describe(self) -> str:
        """Return the words."""
        return " or ".join(f"`{word}`" for word in self.words)


def make_choice(enumeration: type[StrEnum]) -> Choice:
    """Return the choice among an enumeration's members."""
    return Choice({str(member): member for member in enumeration})


class Pattern(ValueType):
    """Text of a stated form.

    Args:
        pattern: What the whole text has to match.
        form: The form in words.
    """

    __slots__ = ("form", "pattern")

    def __init__(self, *, pattern: re.Pattern[str], form: str) -> None:
        self.pattern = pattern
        self.form = form

    def parse(self, text: str) -> str:
        """Return the text."""
        if not self.pattern.fullmatch(text):
            raise Fault(FindingCode.BAD_VALUE, f"{text!r} is not {self.form}")
        return text

    def describe(self) -> str:
        """Return the form."""
        return self.form


NAME: Final = Pattern(pattern=NAME_PATTERN, form="a name of letters, digits, - and _")
VERSION: Final = Pattern(pattern=_VERSION_PATTERN, form="a version without spaces")
SHA256: Final = Pattern(
    pattern=re.compile(r"[0-9a-f]{64}"),
    form="the SHA-256 of the key as 64 hexadecimal digits in lower case",
)
PATH: Final = Pattern(pattern=re.compile(r"[^\x00\n]+"), form="a path")


class Address(ValueType):
    """An IPv4 number and a port.

    Args:
        any_port: Whether port 0, which lets the OS choose, is taken.
    """

    __slots__ = ("any_port",)

    def __init__(self, *, any_port: bool) -> None:
        self.any_port = any_port

    def parse(self, text: str) -> str:
        """Return the address as written."""
        host, _, port = text.rpartition(":")
        try:
            ipaddress.IPv4Address(host)
        except ValueError:
            raise Fault(FindingCode.BAD_VALUE, f"{text!r} is not {self.describe()}") from None
        if not (port.isascii() and port.isdigit()):
            raise Fault(FindingCode.BAD_VALUE, f"{text!r} is not {self.describe()}")
        lowest = 0 if self.any_port else 1
        if not lowest <= int(port[:9]) <= _MAX_PORT:
            raise Fault(FindingCode.OUT_OF_RANGE, f"port {port} is not {lowest} to {_MAX_PORT}")
        return text

    def describe(self) -> str:
        """Return the form."""
        zero = ", port 0 lets the OS choose" if self.any_port else ""
        return f"an address `ip:port` (IPv4 number{zero})"


class Url(ValueType):
    """The URL below which a server's paths stand."""

    def parse(self, text: str) -> str:
        """Return the URL without a closing slash."""
        try:
            parts = urlsplit(text)
            valid = parts.scheme in ("http", "https") and bool(parts.hostname)
            valid = valid and parts.port != 0 and parts.username is None
        except ValueError:
            valid = False
        if not valid or not text.isascii() or re.search(r"[\s?#\x00-\x1f\x7f]", text):
            raise Fault(FindingCode.BAD_VALUE, f"{text!r} is not {self.describe()}")
        return text.rstrip("/")

    def describe(self) -> str:
        """Return the form."""
        return "a URL `http://host:port` without user, query or fragment"


def split_list(text: str) -> list[str]:
    """Return the items of a list written with commas or on lines of their own."""
    items = text.replace("\n", ",").split(",")
    return [item.strip() for item in items if item.strip()]


class ListOf(ValueType):
    """Several values of one type, separated by commas.

    Args:
        item: Type of each.
    """

    __slots__ = ("item",)

    def __init__(self, item: ValueType) -> None:
        self.item = item

    def parse(self, text: str) -> tuple[Any, ...]:
        """Return the values, which have to differ."""
        values = tuple(self.item.parse(item) for item in split_list(text))
        for position, value in enumerate(values):
            if value in values[:position]:
                raise Fault(FindingCode.DUPLICATE_VALUE, f"{value} stands twice")
        return values

    def describe(self) -> str:
        """Return the form."""
        return f"a list, separated by commas, each {self.item.describe()}"


class PairsOf(ValueType):
    """Pairs ``left:right`` of names, separated by commas, as a mapping."""

    def parse(self, text: str) -> dict[str, str]:
        """Return right by left; each left stands once."""
        pairs: dict[str, str] = {}
        for item in split_list(text):
            left, colon, right = (part.strip() for part in item.partition(":"))
            if not (colon and NAME_PATTERN.fullmatch(left) and NAME_PATTERN.fullmatch(right)):
                raise Fault(FindingCode.BAD_VALUE, f"{item!r} is not `kind:class`")
            if left in pairs:
                raise Fault(FindingCode.DUPLICATE_VALUE, f"kind {left} stands twice")
            pairs[left] = right
        if not pairs:
            raise Fault(FindingCode.BAD_VALUE, "names no `kind:class`")
        return pairs

    def describe(self) -> str:
        """Return the form."""
        return "a list, separated by commas, each `kind:class`"


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
