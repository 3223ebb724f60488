"""Boundary for bytes from outside of the process: one error, whatever is wrong with them."""

from __future__ import annotations

import json
import re
from math import isfinite
from socket import AF_INET, inet_pton
from typing import TYPE_CHECKING, Any, Final, Self

if TYPE_CHECKING:
    from types import TracebackType

MAX_INTEGER_CHARACTERS: Final = 20
"""Characters of an integer: those of the largest signed 64-bit number with its sign."""
MAX_REASON_CHARACTERS: Final = 100
"""Characters of an error's text that are kept for the log."""
MAX_PORT: Final = 65_535
_HEADER_TEXT: Final = re.compile(r"[!-~]+")


class MalformedData(Exception):
    """Bytes from outside that do not hold what they are read as.

    Args:
        source: What was read.
        reason: What is wrong with it.
    """

    def __init__(self, source: str, reason: str) -> None:
        super().__init__(f"{source}: {reason}")
        self.source = source
        self.reason = reason


class Decoding:
    """Context of a decoder: each error in it leaves as `MalformedData`.

    A decoder that lets another error through ends the task that reads, and with it the instance,
    as often as the same bytes are read again. Which errors bytes can cause is not known in advance
    (deep nesting is a `RecursionError`, a large number an `OverflowError`), so all of them are
    converted.

    Args:
        source: What is read, for the error.
    """

    __slots__ = ("_source",)

    def __init__(self, source: str) -> None:
        self._source = source

    def __enter__(self) -> Self:
        """Enter the context."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Convert an error.

        Raises:
            MalformedData: There was an error.
        """
        if isinstance(error, Exception) and not isinstance(error, MalformedData):
            raise MalformedData(self._source, _describe(error)) from error


def decode_json(data: bytes | str) -> Any:
    """Return the value of JSON text whose numbers and strings can be used without a further check.

    Numbers are finite and integers have at most 64 bits, since others fail where they are rounded,
    converted or divided later. Strings can be encoded, since others fail where they are sent on.

    Raises:
        ValueError: The text is malformed or has such a value.
        RecursionError: It is nested too deeply.
    """
    return _decode(data, _DECODER)


def decode_peer_json(data: bytes) -> Any:
    """Return the same for a frequent message of another instance, with integers of any size.

    Bounding them takes longer than the rest of the decoding, and instances have bounded what they
    pass on.

    Raises:
        ValueError: The text is malformed or has another such value.
        RecursionError: It is nested too deeply.
    """
    return _decode(data, _PEER_DECODER)


def decode_rows_json(data: bytes) -> Any:
    """Return the same for rows of several writers: any text, which is checked row by row.

    One key that can't be encoded would otherwise hide all other rows.

    Raises:
        ValueError: The text is malformed or has another such value.
        RecursionError: It is nested too deeply.
    """
    return _DECODER.decode(data.decode())


def decode_ip(value: object) -> str:
    """Return the IPv4 address in a value.

    Raises:
        ValueError: It is none; a host name would be looked up, which blocks the process.
    """
    if not isinstance(value, str):
        raise ValueError("an address is no text")
    try:
        inet_pton(AF_INET, value)
    except OSError as error:
        raise ValueError(f"no IPv4 address: {value[:40]!r}") from error
    return value


def decode_port(value: object) -> int:
    """Return the port in a value, a number or its digits.

    Raises:
        ValueError: It is none.
    """
    if isinstance(value, str) and value.isascii() and value.isdecimal():
        value = int(value)
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError("a port is no number")
    if not 0 < value <= MAX_PORT:
        raise ValueError(f"no port: {value}")
    return value


def decode_name(value: object) -> str:
    """Return a name that can be sent in a header.

    Raises:
        ValueError: It is empty, or has other characters than visible ones of ASCII.
    """
    if not isinstance(value, str) or not _HEADER_TEXT.fullmatch(value):
        raise ValueError(f"no name: {value!r:.40}")
    return value


def _decode(data: bytes | str, decoder: json.JSONDecoder) -> Any:
    text = data if isinstance(data, str) else data.decode()
    value = decoder.decode(text)
    if "\\u" in text:
        json.dumps(value, ensure_ascii=False).encode()
    return value


def _describe(error: Exception) -> str:
    text = str(error)[:MAX_REASON_CHARACTERS]
    return text if isinstance(error, ValueError) else f"{type(error).__name__}: {text}"


def _parse_integer(text: str) -> int:
    if len(text) > MAX_INTEGER_CHARACTERS:
        raise ValueError("an integer has too many digits")
    return int(text)


def _parse_float(text: str) -> float:
    number = float(text)
    if not isfinite(number):
        raise ValueError("a number is too large")
    return number


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is no number")


_DECODER: Final = json.JSONDecoder(
    parse_int=_parse_integer, parse_float=_parse_float, parse_constant=_reject_constant
)
_PEER_DECODER: Final = json.JSONDecoder(parse_float=_parse_float, parse_constant=_reject_constant)
