"""Heartbeats and load updates, which instances send each other a few times a second.

They are datagrams because a connection between instances can stall without an error, and the next
heartbeat replaces a lost one anyway.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavamast.relay.endpoint_load import Load
    from guavamast.relay.freshness import FreshnessStamp
    from guavamast.relay.placement import (
        AdmissionCount,
        Demand,
        ProfileEstimates,
        PromptSend,
        WaitingPrecedence,
    )
    from guavamast.relay.sharing import OrganisationServed, OrganisationWaiting
    from guavamast.relay.store import InstanceRecord


class InstanceState(StrEnum):
    """State of an instance, which determines whether callers may be sent to it."""

    STARTING = "starting"
    SERVING = "serving"
    STALE = "stale"
    """Its configuration is too old to accept callers' keys."""
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class LivenessRecord:
    """Liveness and state of a process, for instances that already have its instance record."""

    name: str
    """Name of the instance."""
    incarnation: int
    sequence: int
    state: InstanceState
    store_answers: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """State of one instance, its load, and what it knows of the store's tables."""

    record: InstanceRecord
    incarnation: int
    """Start of the process; a greater value supersedes earlier heartbeats of the instance."""
    sequence: int
    """Number of the heartbeat within the incarnation."""
    state: InstanceState
    store_reachable: bool
    """Whether the instance's last read of the store succeeded."""
    catalog: FreshnessStamp | None
    endpoints: FreshnessStamp | None
    loads: dict[str, Load]
    """Load that the instance places on each endpoint."""
    demand: Demand
    """Work in each length bucket that the instance has recently been asked for."""
    rejections: list[AdmissionCount]
    """Recent counts of requests and rejections at the instance."""
    profiles: dict[str, ProfileEstimates]
    """Recent estimates by the instance for the engines of each service."""
    sends: list[PromptSend]
    """Prompts that the instance has sent in the last second."""
    served: list[OrganisationServed] = field(default_factory=list)
    """What organisations were served at the instance, where they compete."""

    def build_liveness_record(self) -> LivenessRecord:
        """Return the part that is forwarded to those that already have the instance record."""
        return LivenessRecord(
            name=self.record.name,
            incarnation=self.incarnation,
            sequence=self.sequence,
            state=self.state,
            store_answers=self.store_reachable,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadUpdate:
    """Load of one instance at the endpoints where it has just changed.

    The next heartbeat repeats it, so a lost datagram loses no information.
    """

    instance: str
    incarnation: int
    loads: dict[str, Load]
    sends: list[PromptSend]
    waiting: list[WaitingPrecedence]
    """What waits for room at the instance."""
    organisations: list[OrganisationWaiting] = field(default_factory=list)
    """The same by organisation."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AggregatedHeartbeat:
    """State of many instances, forwarded by an aggregator in one datagram.

    Most of an instance's own record never changes, and of all freshness stamps the newest suffices;
    so the datagram lists the live instances and contains the rest only once.
    """

    aggregator: str
    """Name of the instance that forwards it."""
    liveness: list[LivenessRecord]
    records: list[InstanceRecord]
    """Records of listed instances that are new or have changed, and of some others in rotation."""
    catalog: FreshnessStamp | None
    """The newest stamp that the aggregator knows."""
    endpoints: FreshnessStamp | None
    profiles: dict[str, dict[str, ProfileEstimates]]
    """Combined estimates of each failure domain for the engines of each service."""
