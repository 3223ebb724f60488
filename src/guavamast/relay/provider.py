"""The interface through which the relay calls the provider of engines and receiver of usage."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class CallOutcome(StrEnum):
    """What is known of a call to the provider."""

    DONE = "done"
    """It was carried out."""
    CONFLICT = "conflict"
    """Rejected: a greater fencing number was seen, or what was ordered isn't available."""
    LIMITED = "limited"
    """Rejected: too many calls."""
    NOT_SENT = "not_sent"
    """No byte of it was sent."""
    UNKNOWN = "unknown"
    """It may have been carried out, or may be later."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineGroup:
    """Engines of one kind of a service in one failure domain, which are ordered together."""

    service: str
    failure_domain: str
    reclaimable: bool
    """Whether the provider may take them away at short notice."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineOrder:
    """How many engines a group has to have."""

    group: EngineGroup
    engines: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WindowUsage:
    """Requests of each organisation that began to run in one window."""

    window: int
    """Windows of equal length are counted from the start of 1970."""
    counts: dict[str, int]
    """Requests by the organisation's name."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallAuthority:
    """By what right a call is made."""

    fencing: int
    may_send: Callable[[], bool]
    """Returns whether the lease still allows the call, right before its bytes go out."""


class Provider(ABC):
    """The provider's API; calls never raise for what happens to them on the way."""

    @abstractmethod
    async def report_usage(self, usage: WindowUsage, authority: CallAuthority) -> CallOutcome:
        """Report the usage of one window."""

    @abstractmethod
    async def order_engines(self, order: EngineOrder, authority: CallAuthority) -> CallOutcome:
        """Order the number of engines of one group."""
