"""Types of values in an INI file: their syntax, range and parsed form."""

from __future__ import annotations

import ipaddress
import re
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import urlsplit

from guavamast.findings import FindingCode

if TYPE_CHECKING:
    from enum import StrEnum

NAME_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]*")
"""Names of sections. A dot isn't allowed, as it separates a service from its call."""
_VERSION_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/@+-]*")
_NUMBER_PATTERN: Final = re.compile(r"[-+]?[0-9.]+(?:[eE][-+]?[0-9]+)?")
"""Excludes what Python's ``int`` and ``float`` also accept: digits of other scripts, underscores,
``nan`` and ``inf``."""
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
"""Common time units, in seconds, for hints about a number written with one."""
_MAX_PORT: Final = 65535


class Fault(Exception):
    """Raised for an invalid value.

    Args:
        code: Kind of fault.
        message: What is wrong and what to write instead.
    """

    def __init__(self, code: FindingCode, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message


class ValueType(ABC):
    """Base of the types that parse the text of a value."""

    @abstractmethod
    def parse(self, text: str) -> Any:
        """Return the value, or raise `Fault` when the text is invalid."""

    @abstractmethod
    def describe(self) -> str:
        """Return a description of the valid values, for messages and the settings page."""


class Number(ValueType):
    """A number in a stated unit and range.

    Args:
        minimum: Smallest value.
        maximum: Largest value.
        unit: Unit to show in findings; empty for a number without a unit.
        whole: Whether only whole numbers are valid.
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
            raise self._create_fault(text)
        try:
            value = int(text) if self.whole else float(text)
        except ValueError:
            raise self._create_fault(text) from None
        if not self.minimum <= value <= self.maximum:
            raise Fault(FindingCode.OUT_OF_RANGE, f"{text} is not {self.describe()}")
        return value

    def describe(self) -> str:
        """Return the range with its unit."""
        kind = "whole number" if self.whole else "number"
        unit = f" {self.unit}" if self.unit else ""
        return f"a {kind} from {self.minimum:.12g} to {self.maximum:.12g}{unit}"

    def _create_fault(self, text: str) -> Fault:
        quantity = _QUANTITY_PATTERN.fullmatch(text)
        if quantity is None:
            return Fault(FindingCode.BAD_VALUE, f"{text!r} is not {self.describe()}")
        hint = self._format_conversion(quantity.group(1), quantity.group(2))
        unit = f"is in {self.unit}" if self.unit else "is a plain number"
        return Fault(FindingCode.WRONG_UNIT, f"{text!r}: the value {unit} and takes no unit{hint}")

    def _format_conversion(self, digits: str, unit: str) -> str:
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
        words: Value by word.
    """

    __slots__ = ("words",)

    def __init__(self, words: dict[str, Any]) -> None:
        self.words = words

    def parse(self, text: str) -> Any:
        """Return the value of the word."""
        if text not in self.words:
            raise Fault(FindingCode.BAD_VALUE, f"{text!r} is not {self.describe()}")
        return self.words[text]

    def describe(self) -> str:
        """Return the words."""
        return " or ".join(f"`{word}`" for word in self.words)


def create_choice(enumeration: type[StrEnum]) -> Choice:
    """Return a choice among the members of an enumeration."""
    return Choice({str(member): member for member in enumeration})


class Pattern(ValueType):
    """Text that matches a pattern.

    Args:
        pattern: Regular expression that the whole text has to match.
        form: Description of the valid texts.
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
    """An IPv4 address and a port.

    Args:
        any_port: Whether port 0, with which the OS chooses one, is valid.
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
            raise Fault(
                FindingCode.OUT_OF_RANGE, f"port {port} is not in the range {lowest} to {_MAX_PORT}"
            )
        return text

    def describe(self) -> str:
        """Return the form."""
        zero = ", port 0 lets the OS choose" if self.any_port else ""
        return f"an address `ip:port` (IPv4 number{zero})"


class Url(ValueType):
    """The base URL of a server."""

    def parse(self, text: str) -> str:
        """Return the URL without trailing slashes."""
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
    """Return the items of a list that are separated by commas or line breaks."""
    items = text.replace("\n", ",").split(",")
    return [item.strip() for item in items if item.strip()]


class ListOf(ValueType):
    """Several values of one type, separated by commas.

    Args:
        item: Type of each value.
    """

    __slots__ = ("item",)

    def __init__(self, item: ValueType) -> None:
        self.item = item

    def parse(self, text: str) -> tuple[Any, ...]:
        """Return the values; duplicates are a fault."""
        values = tuple(self.item.parse(item) for item in split_list(text))
        for position, value in enumerate(values):
            if value in values[:position]:
                raise Fault(FindingCode.DUPLICATE_VALUE, f"{value} is listed twice")
        return values

    def describe(self) -> str:
        """Return the form."""
        return f"a list, separated by commas, each {self.item.describe()}"


class PairsOf(ValueType):
    """Pairs ``left:right`` of names, separated by commas, as a mapping."""

    def parse(self, text: str) -> dict[str, str]:
        """Return right by left; a repeated left is a fault."""
        pairs: dict[str, str] = {}
        for item in split_list(text):
            left, colon, right = (part.strip() for part in item.partition(":"))
            if not (colon and NAME_PATTERN.fullmatch(left) and NAME_PATTERN.fullmatch(right)):
                raise Fault(FindingCode.BAD_VALUE, f"{item!r} is not `kind:class`")
            if left in pairs:
                raise Fault(FindingCode.DUPLICATE_VALUE, f"kind {left} is listed twice")
            pairs[left] = right
        if not pairs:
            raise Fault(FindingCode.BAD_VALUE, "has no `kind:class` pair")
        return pairs

    def describe(self) -> str:
        """Return the form."""
        return "a list, separated by commas, each `kind:class`"
