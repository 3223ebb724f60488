"""Authentication of operators by bearer token."""

from __future__ import annotations

import hashlib
import hmac
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from guavamast.errors import ErrorCode, GuavamastError
from guavamast.log import get_logger

if TYPE_CHECKING:
    from pathlib import Path

_SCHEME: Final = "bearer "


class OperatorAuthenticator(ABC):
    """Identifies the operator that sent a request."""

    @abstractmethod
    def identify(self, authorization: str) -> str:
        """Return the operator's name.

        Args:
            authorization: The request's ``Authorization`` header; empty when it has none.

        Raises:
            GuavamastError: With code ``unauthenticated`` or, for a caller's key, ``forbidden``.
        """


class CallerKeyDirectory(ABC):
    """Lookup of the API keys of the organisations' callers."""

    @abstractmethod
    def has_key(self, key_sha256: str) -> bool:
        """Return whether the key with this digest belongs to an organisation."""


class TokenFileAuthenticator(OperatorAuthenticator):
    """Reads tokens from a file with one line ``name token`` for each operator.

    The file is read for every request, so that tokens can be replaced without a restart.
    Operators send few requests.

    Args:
        path: The file; None rejects all tokens.
        callers: Distinguishes callers' keys from unknown tokens.
    """

    __slots__ = ("_callers", "_path")

    def __init__(self, *, path: Path | None, callers: CallerKeyDirectory) -> None:
        self._path = path
        self._callers = callers

    def identify(self, authorization: str) -> str:
        """Return the operator's name."""
        token = parse_bearer_token(authorization)
        if not token:
            message = "an operator's token is required: Authorization: Bearer TOKEN"
            raise GuavamastError(ErrorCode.UNAUTHENTICATED, message)
        name = look_up_operator(token, self._read_lines())
        if name:
            return name
        if self._callers.has_key(hashlib.sha256(token.encode()).hexdigest()):
            message = "a caller's key gives no access to the operators' interface"
            raise GuavamastError(ErrorCode.FORBIDDEN, message)
        raise GuavamastError(ErrorCode.UNAUTHENTICATED, "the token belongs to no operator")

    def _read_lines(self) -> list[str]:
        if self._path is None:
            return []
        try:
            return self._path.read_text(encoding="utf-8").splitlines()
        except (OSError, ValueError) as error:
            get_logger().error("cannot read the operators' token file: %s", error)
            return []


def parse_bearer_token(authorization: str) -> str:
    """Return the token of an ``Authorization: Bearer`` header, or an empty string."""
    if authorization[: len(_SCHEME)].lower() != _SCHEME:
        return ""
    return authorization[len(_SCHEME) :].strip()


def look_up_operator(token: str, lines: list[str]) -> str:
    """Return the name of the operator with this token, or an empty string.

    Failure: a comparison that stops at the first wrong byte or the first matching line lets an
    attacker measure how much of a guess is right. The digests of the tokens are compared in
    constant time, and always for all lines.

    Args:
        token: The token of the request.
        lines: Lines ``name token``; empty lines, comments that start with ``#`` and lines with
            another number of words are skipped.

    Returns:
        The operator's name.
    """
    expected_digest = hashlib.sha256(token.encode()).digest()
    name = ""
    for line in lines:
        words = line.split()
        if len(words) != 2 or words[0].startswith("#"):
            continue
        digest = hashlib.sha256(words[1].encode()).digest()
        if hmac.compare_digest(digest, expected_digest):
            name = words[0]
    return name
