"""What an entry knows of the fleet: the configuration in force and the last view."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from guavamast.fleet_objects import Configuration, EndpointState
from guavamast.keeper_selection import select_keeper
from guavamast.members import MembershipView, MemberState

if TYPE_CHECKING:
    from guavamast.fleet_objects import Endpoint, Instance, Organisation
    from guavamast.members import Member
    from guavamast.placement import EndpointChooser


class EntryState:
    """The configuration and view that an entry acts on.

    Args:
        instance: This instance.
        chooser: The choice among endpoints, told of each change.
    """

    __slots__ = (
        "_by_key",
        "_keepers",
        "chooser",
        "configuration",
        "instance",
        "isolated",
        "leaving",
        "view",
    )

    def __init__(self, *, instance: Instance, chooser: EndpointChooser) -> None:
        self.instance = instance
        self.chooser = chooser
        self.configuration = Configuration(version=0)
        self.view = MembershipView(members=())
        self.leaving = False
        self.isolated = False
        """Whether the dispatcher hears neither the platform nor another dispatcher."""
        self._by_key: dict[str, Organisation] = {}
        self._keepers: dict[tuple[str, frozenset[str]], str | None] = {}
        """Keepers found in the present view; ranking hundreds of members is not for each ask."""

    @property
    def ready(self) -> bool:
        """Whether callers are served: there is a configuration that can be known to be in force.

        Failure: an instance that is cut off from everybody sends work to an endpoint that has left
        since. It refuses new work as not run; callers have other addresses.
        """
        return self.configuration.version > 0 and not self.leaving and not self.isolated

    def accept_configuration(self, configuration: Configuration) -> bool:
        """Put a configuration in force unless it is not newer.

        Failure: two sources race and an old version comes last, so that a drained endpoint gets
        work again. Versions only grow here, whatever the order of arrival.

        Returns:
            Whether it is now in force.
        """
        if configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        self._keepers.clear()
        organisations = configuration.organisations.values()
        self._by_key = {item.key_sha256: item for item in organisations}
        self.chooser.configure(configuration, self.view)
        return True

    def accept_view(self, view: MembershipView) -> None:
        """Take a newer view of the members."""
        self.view = view
        self._keepers.clear()
        self.chooser.configure(self.configuration, view)

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation of a caller's key.

        The look-up is by the key's hash, so its time tells nothing of the keys that exist.
        """
        return self._by_key.get(hashlib.sha256(key.encode()).hexdigest())

    def find_keeper_address(self, endpoint: str, unreachable: frozenset[str]) -> str | None:
        """Return the peer address of an endpoint's keeper among the reachable members."""
        place = (endpoint, unreachable)
        if place not in self._keepers:
            self._keepers[place] = self._rank_keepers(endpoint, unreachable)
        return self._keepers[place]

    def _rank_keepers(self, endpoint: str, unreachable: frozenset[str]) -> str | None:
        wanted = self.configuration.endpoints.get(endpoint)
        if wanted is None:
            return None
        members = tuple(
            member
            for member in self.view.members
            if member.instance.peer_address not in unreachable
        )
        keeper = select_keeper(wanted, MembershipView(members=members))
        return keeper.instance.peer_address if keeper else None

    def find_active_endpoint(self, name: str) -> Endpoint | None:
        """Return an endpoint that may get new work, else None."""
        endpoint = self.configuration.endpoints.get(name)
        if endpoint is None or endpoint.state is EndpointState.LEAVING:
            return None
        return endpoint

    def list_others(self) -> list[Member]:
        """Return the other members that live, for callers that are sent away."""
        return [
            member
            for member in self.view.members
            if member.state is MemberState.LIVE and member.instance.name != self.instance.name
        ]
