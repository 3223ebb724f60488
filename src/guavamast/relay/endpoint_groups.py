"""Partition of a service's endpoints into groups that are scheduled together."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.rendezvous import compute_weight

if TYPE_CHECKING:
    from guavamast.relay.endpoint_table import EndpointRecord, EndpointTable

MAX_MEAN_GROUP_SIZE: Final = 45
"""Endpoints of a group at most, on average: a scheduler compares all endpoints of its group for
each request, and a larger group gives it a better choice."""
GROUP_SEPARATOR: Final = "/"
"""Character between the service and the number in the name of a group."""


class EndpointGroups:
    """Groups of all services, rebuilt when the endpoint table changes.

    Rendezvous hashing assigns each endpoint to a group, so that adding or removing one moves others
    only when the number of groups changes. Instances with the same table have the same groups.

    Args:
        table: Endpoints of all services.
    """

    __slots__ = ("_groups", "_revision", "_table")

    def __init__(self, *, table: EndpointTable) -> None:
        self._table = table
        self._revision = -1
        self._groups: dict[str, dict[str, list[EndpointRecord]]] = {}

    def list_members(self, service: str, group: str) -> list[EndpointRecord]:
        """Return the endpoints of a group that accept requests."""
        return self._get_groups(service).get(group, [])

    def find_group(self, record: EndpointRecord) -> str:
        """Return the name of the group in which an endpoint is scheduled."""
        names = list(self._get_groups(record.service)) or [_format_name(record.service, 0)]
        return _select_group(record.endpoint_id, names)

    def rank(self, service: str, key: str) -> list[str]:
        """Return the groups of a service in the order in which a request queries them.

        Args:
            service: The service.
            key: Requests with the same key have the same order.
        """
        names = list(self._get_groups(service))
        if len(names) > 1:
            names.sort(key=lambda name: compute_weight(key, name), reverse=True)
        return names

    def _get_groups(self, service: str) -> dict[str, list[EndpointRecord]]:
        if self._revision != self._table.revision:
            self._revision = self._table.revision
            self._groups.clear()
        groups = self._groups.get(service)
        if groups is None:
            groups = _split(service, self._table.list_ready(service))
            self._groups[service] = groups
        return groups


def find_service(group: str) -> str:
    """Return the service of a group."""
    return group.rpartition(GROUP_SEPARATOR)[0]


def count_groups(endpoints: int) -> int:
    """Return the number of groups for a number of endpoints of a service."""
    return max(1, -(-endpoints // MAX_MEAN_GROUP_SIZE))


def _split(service: str, records: list[EndpointRecord]) -> dict[str, list[EndpointRecord]]:
    names = [_format_name(service, number) for number in range(count_groups(len(records)))]
    groups: dict[str, list[EndpointRecord]] = {name: [] for name in names}
    for record in records:
        groups[_select_group(record.endpoint_id, names)].append(record)
    return groups


def _format_name(service: str, number: int) -> str:
    return f"{service}{GROUP_SEPARATOR}{number}"


def _select_group(endpoint_id: str, names: list[str]) -> str:
    if len(names) == 1:
        return names[0]
    return max(names, key=lambda name: compute_weight(endpoint_id, name))
