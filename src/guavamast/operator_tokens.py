"""Who an operator is, by the token that a request carries."""

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
    """Finds the operator that sent a request."""

    @abstractmethod
    def identify(self, authorization: str) -> str:
        """Return the operator's name.

        Args:
            authorization: The request's ``Authorization`` header; empty when it has none.

        Raises:
            GuavamastError: With code ``unauthenticated`` or, for a caller's key, ``forbidden``.
        """


class CallerKeys(ABC):
    """The keys of the organisations' callers."""

    @abstractmethod
    def knows_key(self, key_sha256: str) -> bool:
        """Return whether a key of this digest belongs to an organisation."""


class TokenFileAuthenticator(OperatorAuthenticator):
    """Reads tokens from a file with one line ``name token`` for each operator.

    The file is read at each request, so a token is replaced without a restart; operators' requests
    are few.

    Args:
        path: The file; None lets no operator in.
        callers: Tells a caller's key from a token that nobody has.
    """

    __slots__ = ("_callers", "_path")

    def __init__(self, *, path: Path | None, callers: CallerKeys) -> None:
        self._path = path
        self._callers = callers

    def identify(self, authorization: str) -> str:
        """Return the operator's name."""
        token = read_bearer(authorization)
        if not token:
            message = "an operator's token is needed: Authorization: Bearer TOKEN"
            raise GuavamastError(ErrorCode.UNAUTHENTICATED, message)
        name = find_operator(token, self._read_lines())
        if name:
            return name
        if self._callers.knows_key(hashlib.sha256(token.encode()).hexdigest()):
            message = "a caller's key does not open the operators' part"
            raise GuavamastError(ErrorCode.FORBIDDEN, message)
        raise GuavamastError(ErrorCode.UNAUTHENTICATED, "the token is not an operator's")

    def _read_lines(self) -> list[str]:
        if self._path is None:
            return []
        try:
            return self._path.read_text(encoding="utf-8").splitlines()
        except (OSError, ValueError) as error:
            get_logger().error("the operators' token file can't be read: %s", error)
            return []


def read_bearer(authorization: str) -> str:
    """Return the token of an ``Authorization: Bearer`` header; empty when there is none."""
    if authorization[: len(_SCHEME)].lower() != _SCHEME:
        return ""
    return authorization[len(_SCHEME) :].strip()


def find_operator(token: str, lines: list[str]) -> str:
    """Return the name on the line that has this token; empty when none has.

    Failure: a comparison that ends at the first wrong byte, or at the first right line, lets an
    attacker measure how much of a guess was right. All lines are compared, each by the digests
    of both tokens in constant time.

    Args:
        token: What the request carries.
        lines: Lines ``name token``; empty ones and those that start with ``#`` are skipped.

    Returns:
        The operator's name.
    """
    wanted = hashlib.sha256(token.encode()).digest()
    found = ""
    for line in lines:
        words = line.split()
        if len(words) != 2 or words[0].startswith("#"):
            continue
        digest = hashlib.sha256(words[1].encode()).digest()
        if hmac.compare_digest(digest, wanted):
            found = words[0]
    return found
