"""Checks whether a response that ended with its connection was broken off."""

from __future__ import annotations

from abc import ABC, abstractmethod
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


class RefusalProbe(ABC):
    """Tells whether the host of an endpoint refuses connections."""

    __slots__ = ()

    @abstractmethod
    async def refuses_connection(self, record: EndpointRecord, *, timeout_s: float) -> bool:
        """Return whether the host of an endpoint that was just heard directly refuses connections.

        Args:
            record: The endpoint.
            timeout_s: Seconds after which silence counts as no refusal.
        """


class ResponseEndCheck:
    """Looks for the sender of a response whose bytes don't show whether it is whole.

    An endpoint that crashes between two events ends its connection as it does after a whole
    response, if that has neither a length nor chunks. But then its host refuses connections, while
    an endpoint that has sent a whole response goes on. One that is leaving may have ended its work.
    A process that was suspended finds such an end late, when the endpoint may have been restarted.

    The instance that has the connection to the endpoint checks, as it knows that the path is sound:
    a refusal there is not compared with other endpoints, which may have ended together.

    Args:
        probe: Tells whether an endpoint's host refuses connections.
        admission: Reads the table of endpoints if it is too old.
        fleet_state: Endpoints that are in use.
        read_time: Reads the local clock.
    """

    __slots__ = ("_admission", "_fleet_state", "_probe", "_read_time")

    def __init__(
        self,
        *,
        probe: RefusalProbe,
        admission: CallerAdmission,
        fleet_state: FleetState,
        read_time: Callable[[], float],
    ) -> None:
        self._probe = probe
        self._admission = admission
        self._fleet_state = fleet_state
        self._read_time = read_time

    async def is_broken_off(self, record: EndpointRecord, *, ending: BodyEnding) -> bool:
        """Return whether an endpoint has ended with its response.

        Args:
            record: The endpoint, as it was when the request was sent.
            ending: How the response ended on the connection to the endpoint.
        """
        if ending is not BodyEnding.CLOSED:
            return False
        await self._admission.refresh(until=self._read_time() + CHECK_TIMEOUT_S)
        listed = self._fleet_state.endpoints.find(record.endpoint_id)
        if listed is None or not listed.ready:
            return False
        if listed.started_ms != record.started_ms:
            return True
        return await self._probe.refuses_connection(record, timeout_s=CHECK_TIMEOUT_S)
