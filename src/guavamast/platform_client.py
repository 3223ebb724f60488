"""Interface to the platform's table service, object store and instance list."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any

from guavamast.errors import ErrorCode, GuavamastError


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row of a table. Version 0 means that the row is absent."""

    table: str
    key: str
    version: int
    value: dict[str, Any] | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Check:
    """A condition of a transaction: the row has exactly this version."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """A row to write; ``value`` None deletes it."""

    table: str
    key: str
    value: dict[str, Any] | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedInstance:
    """One entry of the platform's list of instances, which is eventually consistent."""

    name: str
    state: str
    """``live`` or ``leaving``."""
    peer_address: str


class PlatformError(GuavamastError):
    """The platform did not carry out the request. Nothing was written."""


class PlatformUnavailable(PlatformError):
    """The platform was unreachable or rejected the request; nothing was written."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.PLATFORM_UNAVAILABLE, message)


class PlatformAnswerLost(GuavamastError):
    """The response was lost: the write may have taken effect; a read tells whether it did."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.OUTCOME_UNKNOWN, message)


class TransactionConflict(PlatformError):
    """A check failed; nothing was written."""

    def __init__(self, message: str = "a row has another version") -> None:
        super().__init__(ErrorCode.PLAN_CONFLICT, message)


class PlatformClient(ABC):
    """Access to the platform. All methods raise `PlatformUnavailable` on an outage."""

    @abstractmethod
    async def transact(self, checks: list[Check], writes: list[Write]) -> list[int]:
        """Write all rows if all checks pass, else none.

        Returns:
            The new versions, in the order of ``writes``.

        Raises:
            TransactionConflict: A check failed.
            PlatformAnswerLost: The transaction may have taken effect.
        """

    @abstractmethod
    async def read(self, table: str, key: str) -> Row:
        """Return a row, with version 0 and no value when it is absent."""

    @abstractmethod
    async def scan(self, table: str, prefix: str) -> list[Row]:
        """Return all rows of a table whose key starts with ``prefix``, ordered by key."""

    @abstractmethod
    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object; idempotent for the same name and body."""

    @abstractmethod
    async def get_object(self, name: str) -> bytes | None:
        """Return an object, or None when it is absent."""

    @abstractmethod
    async def list_instances(self) -> list[ListedInstance]:
        """Return the platform's list of instances, which may be out of date."""
