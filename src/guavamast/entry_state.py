"""An entry's state of the fleet: the configuration in force and the last view."""

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
        chooser: Chooses among endpoints; reconfigured on each change.
    """

    __slots__ = (
        "_organisations_by_key",
        "_keeper_addresses",
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
        """Whether the dispatcher receives nothing from the platform or any other dispatcher."""
        self._organisations_by_key: dict[str, Organisation] = {}
        self._keeper_addresses: dict[tuple[str, frozenset[str]], str | None] = {}
        """Cache for the current view; ranking hundreds of members for each ask costs too much."""

    @property
    def ready(self) -> bool:
        """Whether callers are served: a configuration is known to be in force.

        Without this check, an isolated instance sends work to an endpoint that has left meanwhile.
        It rejects new work as not run; callers have other addresses.
        """
        return self.configuration.version > 0 and not self.leaving and not self.isolated

    def accept_configuration(self, configuration: Configuration) -> bool:
        """Apply a configuration if it is newer than the one in force.

        Without this check, an older version that arrives last from one of two racing sources sends
        work to a drained endpoint again. Versions only increase, whatever the order of arrival.

        Returns:
            Whether it is now in force.
        """
        if configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        self._keeper_addresses.clear()
        organisations = configuration.organisations.values()
        self._organisations_by_key = {item.key_sha256: item for item in organisations}
        self.chooser.configure(configuration, self.view)
        return True

    def apply_view(self, view: MembershipView) -> None:
        """Apply a newer view of the members."""
        self.view = view
        self._keeper_addresses.clear()
        self.chooser.configure(self.configuration, view)

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation of a caller's key.

        The look-up is by the key's hash, so its duration reveals nothing about existing keys.
        """
        return self._organisations_by_key.get(hashlib.sha256(key.encode()).hexdigest())

    def find_keeper_address(self, endpoint: str, unreachable: frozenset[str]) -> str | None:
        """Return the peer address of an endpoint's keeper among the reachable members."""
        cache_key = (endpoint, unreachable)
        if cache_key not in self._keeper_addresses:
            self._keeper_addresses[cache_key] = self._select_keeper_address(endpoint, unreachable)
        return self._keeper_addresses[cache_key]

    def _select_keeper_address(self, endpoint: str, unreachable: frozenset[str]) -> str | None:
        target = self.configuration.endpoints.get(endpoint)
        if target is None:
            return None
        members = tuple(
            member
            for member in self.view.members
            if member.instance.peer_address not in unreachable
        )
        keeper = select_keeper(target, MembershipView(members=members))
        return keeper.instance.peer_address if keeper else None

    def find_active_endpoint(self, name: str) -> Endpoint | None:
        """Return an endpoint that may receive new work, else None."""
        endpoint = self.configuration.endpoints.get(name)
        if endpoint is None or endpoint.state is EndpointState.LEAVING:
            return None
        return endpoint

    def list_live_peers(self) -> list[Member]:
        """Return the other live members, to which rejected callers are redirected."""
        return [
            member
            for member in self.view.members
            if member.state is MemberState.LIVE and member.instance.name != self.instance.name
        ]
