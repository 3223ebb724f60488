"""Which endpoints may be taken out of use at the same time to load models.

Each endpoint's keeper gives its orders. How many are out at once is agreed in one row of the
platform's table that names them: a keeper adds its endpoint only while the limits below hold.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.capacity import find_pool, list_kinds
from guavamast.world import EndpointKind, EndpointState

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from guavamast.world import Configuration, Endpoint


@dataclass(frozen=True, slots=True, kw_only=True)
class RolloutLimits:
    """How fast a rollout may go."""

    loading: int = 2
    """Endpoints that load at the same time: the weight store is rate-limited."""
    floor: float = 0.6
    """Share of the slots of each class, and of each model, that stays in use."""


DEFAULT_LIMITS: Final = RolloutLimits()


def find_wanted(configuration: Configuration, endpoint: Endpoint) -> dict[str, str]:
    """Return the version of each model that an endpoint is to run; none unless it is active."""
    if endpoint.kind is not EndpointKind.ENGINE or endpoint.state is not EndpointState.ACTIVE:
        return {}
    return {name: configuration.models[name].version for name in sorted(endpoint.models)}


def find_missing(wanted: Mapping[str, str], reported: Mapping[str, str]) -> dict[str, str]:
    """Return the models that have to be loaded, by name.

    A model that an endpoint runs and need not is left there: requests are not sent to it, and
    dropping it would be one more order that can go wrong.
    """
    return {name: version for name, version in wanted.items() if reported.get(name) != version}


def may_take_out(
    configuration: Configuration,
    endpoint: Endpoint,
    *,
    out: Iterable[str],
    limits: RolloutLimits = DEFAULT_LIMITS,
) -> bool:
    """Return whether one more endpoint may be out of use.

    Args:
        configuration: The configuration in force; a new one changes the answer at once, which
            stops a rollout half-way.
        endpoint: The one to take out.
        out: Endpoints that are out already, for a load or because they fail.
        limits: How fast the rollout may go.

    Returns:
        Whether the number of loads and the floor of each class and model allow it. A group whose
        endpoints are all in use may always give one, as a group of one could else never load.
    """
    others = {name for name in out if name != endpoint.name and name in configuration.endpoints}
    if len(others) >= limits.loading:
        return False
    groups = [group for group in _list_groups(configuration) if endpoint.name in group]
    return all(_keeps_floor(group, others, endpoint.name, limits) for group in groups)


def _list_groups(configuration: Configuration) -> list[dict[str, int]]:
    """Return the slots by active endpoint of each class and of each model."""
    groups = []
    for name in configuration.classes:
        kinds = list_kinds(configuration, name)
        groups.append([member for kind in kinds for member in find_pool(configuration, kind)])
    endpoints = configuration.endpoints.values()
    for model in configuration.models:
        groups.append([member for member in endpoints if model in member.models])
    return [
        {member.name: member.slots for member in group if member.state is EndpointState.ACTIVE}
        for group in groups
    ]


def _keeps_floor(
    group: Mapping[str, int], out: set[str], candidate: str, limits: RolloutLimits
) -> bool:
    if not out & set(group):
        return True
    left = sum(slots for name, slots in group.items() if name not in out and name != candidate)
    return left >= limits.floor * sum(group.values())
