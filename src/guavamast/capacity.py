"""Endpoints that each kind of request, and so each service class, can use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavamast.fleet_objects import EndpointKind, EndpointState

if TYPE_CHECKING:
    from guavamast.fleet_objects import Configuration, Endpoint


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassCapacity:
    """The endpoints that a class's requests may run at; classes may share endpoints."""

    name: str
    endpoints: frozenset[str]
    """All of them, including those that are leaving."""
    active: frozenset[str]
    """Those that accept new requests."""
    slots: int
    """Slots of the active ones."""


def find_pool(configuration: Configuration, kind: str) -> list[Endpoint]:
    """Return the endpoints that requests of one kind may run at.

    A kind that is the name of a ``[call]`` runs at the services that have this call; any other
    kind is a kind of chat and runs at the engines. In a fleet without engines such a kind can
    only belong to a call without a ``[call]`` section, which runs at the services.

    Args:
        configuration: The fleet.
        kind: The kind of request.

    Returns:
        The endpoints, in any state, in order of the configuration.
    """
    services = {service for service, call in configuration.calls if call == kind}
    endpoints = list(configuration.endpoints.values())
    if services:
        return [endpoint for endpoint in endpoints if endpoint.service in services]
    engines = [endpoint for endpoint in endpoints if endpoint.kind is EndpointKind.ENGINE]
    return engines or endpoints


def list_kinds(configuration: Configuration, class_name: str) -> list[str]:
    """Return the kinds of request that any organisation assigns to a class."""
    kinds = {
        kind
        for organisation in configuration.organisations.values()
        for kind, used in organisation.contract.classes.items()
        if used == class_name
    }
    return sorted(kinds)


def compute_capacities(configuration: Configuration) -> dict[str, ClassCapacity]:
    """Return the capacity of each class that an organisation uses.

    Args:
        configuration: The fleet.

    Returns:
        Capacities by class; an unused class has none.
    """
    kinds: dict[str, set[str]] = {}
    for organisation in configuration.organisations.values():
        for kind, class_name in organisation.contract.classes.items():
            kinds.setdefault(class_name, set()).add(kind)
    pools = {kind: find_pool(configuration, kind) for used in kinds.values() for kind in used}
    return {
        name: _build_capacity(name, [endpoint for kind in sorted(used) for endpoint in pools[kind]])
        for name, used in kinds.items()
    }


def _build_capacity(name: str, pool: list[Endpoint]) -> ClassCapacity:
    endpoints = {endpoint.name: endpoint for endpoint in pool}
    active = {
        endpoint.name: endpoint.slots
        for endpoint in endpoints.values()
        if endpoint.state is EndpointState.ACTIVE
    }
    return ClassCapacity(
        name=name,
        endpoints=frozenset(endpoints),
        active=frozenset(active),
        slots=sum(active.values()),
    )
