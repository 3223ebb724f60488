"""The endpoints that a dispatcher keeps, as the order loop uses them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.keeper_selection import select_keeper
from guavamast.order_loop import KeptEndpoints

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.fleet_objects import Configuration, Endpoint
    from guavamast.keeper_host import KeeperHost
    from guavamast.members import MembershipView


class HostedEndpoints(KeptEndpoints):
    """The endpoints that one dispatcher keeps.

    Args:
        instance: Name of the dispatcher's instance.
        host: Runs its keepers.
        get_configuration: Returns the configuration in force.
        get_view: Returns the current membership view.
    """

    __slots__ = ("_get_configuration", "_get_view", "_host", "_instance", "_kept", "_kept_key")

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
        self._kept_key: tuple[int, tuple[str, ...]] | None = None

    def read_configuration(self) -> Configuration:
        """Return the configuration in force at this instance."""
        return self._get_configuration()

    def list_kept(self) -> list[Endpoint]:
        """Return the endpoints that this instance keeps according to its membership view.

        The ranking of all members for all endpoints is cached until either of them changes.
        """
        view = self._get_view()
        configuration = self._get_configuration()
        names = tuple(member.instance.name for member in view.list_serving())
        if self._kept_key != (configuration.version, names):
            self._kept_key = (configuration.version, names)
            endpoints = configuration.endpoints.values()
            self._kept = [item for item in endpoints if self._is_kept(item, view)]
        return self._kept

    def count_running(self, endpoint: str) -> int:
        """Return the number of requests that hold a slot of an endpoint."""
        return self._host.count_running(endpoint)

    def set_out_of_use(self, endpoint: str, *, out: bool) -> None:
        """Stop or resume granting slots of an endpoint."""
        self._host.set_out_of_use(endpoint, out_of_use=out)

    def _is_kept(self, endpoint: Endpoint, view: MembershipView) -> bool:
        keeper = select_keeper(endpoint, view)
        return keeper is not None and keeper.instance.name == self._instance
