"""The fleet status that an entry reports to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.fleet_status import EndpointStatus, FleetStatus, InstanceStatus, StatusSource
from guavamast.keeper_selection import select_keeper
from guavamast.operator_tokens import CallerKeyDirectory

if TYPE_CHECKING:
    from guavamast.entry_state import EntryState
    from guavamast.fleet_objects import Configuration, Endpoint
    from guavamast.members import Member
    from guavamast.slot_links import SlotLinks


class EntryStatus(StatusSource, CallerKeyDirectory):
    """Fleet status as one entry knows it.

    Args:
        state: Its configuration and view.
        links: Its asks and held slots.
    """

    def __init__(self, *, state: EntryState, links: SlotLinks) -> None:
        self._state = state
        self._links = links

    def read_configuration(self) -> Configuration:
        """Return the configuration in force at this instance."""
        return self._state.configuration

    def has_key(self, key_sha256: str) -> bool:
        """Return whether a key of this digest belongs to an organisation."""
        organisations = self._state.configuration.organisations.values()
        return any(item.key_sha256 == key_sha256 for item in organisations)

    def read_status(self) -> FleetStatus:
        """Return the fleet as this instance knows it."""
        endpoints = self._state.configuration.endpoints.values()
        return FleetStatus(
            answered_by=self._state.instance.name,
            configuration_version=self._state.configuration.version,
            instances=tuple(_describe_member(item) for item in self._state.view.members),
            endpoints=tuple(self._describe_endpoint(item) for item in endpoints),
        )

    def _describe_endpoint(self, endpoint: Endpoint) -> EndpointStatus:
        keeper = select_keeper(endpoint, self._state.view)
        return EndpointStatus(
            name=endpoint.name,
            state=endpoint.state,
            keeper=keeper.instance.name if keeper else "",
            in_flight=self._links.count_held(endpoint.name),
        )


def _describe_member(member: Member) -> InstanceStatus:
    instance = member.instance
    return InstanceStatus(
        name=instance.name,
        failure_domain=instance.failure_domain.name,
        region=instance.failure_domain.region,
        state=member.state.name.lower(),
        configuration_version=member.configuration_version,
        caller_address=instance.caller_address,
        load=member.load,
    )
