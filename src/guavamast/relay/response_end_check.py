"""Checks whether a response that ended with its connection was broken off."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from enum import StrEnum
from typing import TYPE_CHECKING, Final

from guavamast.relay.response_end import BodyEnding

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.caller_admission import CallerAdmission
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.fleet_state import FleetState

CHECK_TIMEOUT_S: Final = 0.1
"""Seconds for which the end of a response waits for its endpoint: many round trips. Silence shows
nothing, and a whole response must not be withheld for it."""
LEAVING_CHECK_DELAYS_S: Final = (0.0, 0.05)
"""Seconds before each check of an endpoint that is leaving, from the one before it: a process that
exits may close its connections some time before it stops listening."""


class ListenState(StrEnum):
    """What the host of an endpoint does with a new connection."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    SILENT = "silent"
    """Nothing, within the timeout."""


class ListenProbe(ABC):
    """Tells whether the host of an endpoint accepts connections."""

    __slots__ = ()

    @abstractmethod
    async def check_listening(self, record: EndpointRecord, *, timeout_s: float) -> ListenState:
        """Return what the host of an endpoint that was just heard directly does with a connection.

        Args:
            record: The endpoint.
            timeout_s: Seconds for which it is awaited.
        """


class ResponseEndCheck:
    """Looks for the sender of a response whose bytes don't show whether it is whole.

    An endpoint that crashes between two events ends its connection as it does after a whole
    response, if that has neither a length nor chunks. But then its host refuses connections, while
    an endpoint that has sent a whole response goes on. A process that was suspended finds such an
    end late, when the endpoint may have been restarted, or another one may have its address.

    An endpoint that is leaving, or isn't listed, exits when its time is over, whatever it sends
    then. It hardly ever exits in the moment in which one response is whole, and breaks off all
    others. So its responses are believed only while it accepts connections, its streams only if it
    still does a moment later. A plain response is written at once, rarely in the moment of an exit.

    The instance that has the connection to the endpoint checks, as it knows that the path is sound:
    a refusal there is not compared with other endpoints, which may have ended together.

    Args:
        probe: Tells whether an endpoint's host accepts connections.
        admission: Reads the table of endpoints if it is too old.
        fleet_state: Endpoints that are in use.
        read_time: Reads the local clock.
    """

    __slots__ = ("_admission", "_fleet_state", "_probe", "_read_time")

    def __init__(
        self,
        *,
        probe: ListenProbe,
        admission: CallerAdmission,
        fleet_state: FleetState,
        read_time: Callable[[], float],
    ) -> None:
        self._probe = probe
        self._admission = admission
        self._fleet_state = fleet_state
        self._read_time = read_time

    async def is_broken_off(
        self, record: EndpointRecord, *, ending: BodyEnding, event_stream: bool
    ) -> bool:
        """Return whether an endpoint has ended with its response.

        Args:
            record: The endpoint, as it was when the request was sent.
            ending: How the response ended on the connection to the endpoint.
            event_stream: Whether the response is a stream of events.
        """
        if ending is not BodyEnding.CLOSED:
            return False
        await self._admission.refresh(until=self._read_time() + CHECK_TIMEOUT_S)
        listed = self._fleet_state.endpoints.find(record.endpoint_id)
        if listed is not None and listed.started_ms != record.started_ms:
            return True
        if self._has_successor(record):
            return True
        if listed is not None and listed.ready:
            return await self._check_listening(record) is ListenState.REFUSED
        return await self._has_left(record, event_stream=event_stream)

    def _has_successor(self, record: EndpointRecord) -> bool:
        """Return whether another endpoint has started at the address of an earlier one.

        It would accept connections in place of the one that has ended.
        """
        if record.started_ms is None:
            return False
        return any(
            (other.host, other.port) == (record.host, record.port)
            and (other.started_ms or 0) > record.started_ms
            for other in self._fleet_state.endpoints.list_all()
        )

    async def _has_left(self, record: EndpointRecord, *, event_stream: bool) -> bool:
        """Return whether an endpoint that is leaving, or isn't listed, seems to have ended.

        Silence counts as its end, too, unless another check shows that it listens: the host may
        have been taken away with it.
        """
        accepted = False
        for delay_s in LEAVING_CHECK_DELAYS_S:
            await asyncio.sleep(delay_s)
            state = await self._check_listening(record)
            if state is ListenState.REFUSED:
                return True
            accepted |= state is ListenState.ACCEPTED
            if accepted and not event_stream:
                break
        return not accepted

    async def _check_listening(self, record: EndpointRecord) -> ListenState:
        return await self._probe.check_listening(record, timeout_s=CHECK_TIMEOUT_S)
