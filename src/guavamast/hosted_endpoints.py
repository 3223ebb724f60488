"""A dispatcher's endpoints, as the loop that gives orders uses them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.keeping import find_keeper
from guavamast.order_loop import KeptEndpoints

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.keeper_host import KeeperHost
    from guavamast.members import MembershipView
    from guavamast.world import Configuration, Endpoint


class HostedEndpoints(KeptEndpoints):
    """The endpoints that one dispatcher keeps.

    Args:
        instance: Name of the dispatcher's instance.
        host: Holds its keepers.
        get_configuration: Gives the configuration in force.
        get_view: Gives the members as they are known now.
    """

    __slots__ = ("_get_configuration", "_get_view", "_host", "_instance", "_kept", "_kept_for")

    def __init__(
        self,
        *,
        instance: str,
        host: KeeperHost,
        get_configuration: Callable[[], Configuration],
        get_view: Callable[[], MembershipView],
    ) -> None:
        self._instance = instance
        self._host = host
        self._get_configuration = get_configuration
        self._get_view = get_view
        self._kept: list[Endpoint] = []
        self._kept_for: tuple[int, tuple[str, ...]] | None = None

    def read_configuration(self) -> Configuration:
        """Return the configuration in force at this instance."""
        return self._get_configuration()

    def list_kept(self) -> list[Endpoint]:
        """Return the endpoints that this instance keeps by its view of the members.

        Ranking all members for all endpoints is done again only when one of them changed.
        """
        view = self._get_view()
        configuration = self._get_configuration()
        names = tuple(member.instance.name for member in view.list_serving())
        if self._kept_for != (configuration.version, names):
            self._kept_for = (configuration.version, names)
            endpoints = configuration.endpoints.values()
            self._kept = [item for item in endpoints if self._keeps(item, view)]
        return self._kept

    def count_running(self, endpoint: str) -> int:
        """Return the requests that hold a slot of an endpoint."""
        return self._host.count_running(endpoint)

    def hold(self, endpoint: str, *, out: bool) -> None:
        """Stop granting slots of an endpoint, or go on."""
        self._host.hold(endpoint, out=out)

    def _keeps(self, endpoint: Endpoint, view: MembershipView) -> bool:
        keeper = find_keeper(endpoint, view)
        return keeper is not None and keeper.instance.name == self._instance
