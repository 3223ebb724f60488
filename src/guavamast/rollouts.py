"""Limits on the endpoints that are out of use at the same time to load models.

Each endpoint's keeper sends its orders. The keepers coordinate through one row of the
platform's table that lists the endpoints out of use: a keeper adds its endpoint only while the
limits below hold.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.capacity import find_pool, list_kinds
from guavamast.fleet_objects import EndpointKind, EndpointState

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from guavamast.fleet_objects import Configuration, Endpoint


@dataclass(frozen=True, slots=True, kw_only=True)
class RolloutLimits:
    """Limits on the speed of a rollout."""

    max_loading: int = 2
    """Endpoints that may load at the same time: the weight store is rate-limited."""
    min_slot_share: float = 0.6
    """Minimum share of the slots of each class, and of each model, that stays in use."""


DEFAULT_LIMITS: Final = RolloutLimits()


def list_target_versions(configuration: Configuration, endpoint: Endpoint) -> dict[str, str]:
    """Return the target version of each model of an engine; none unless it is active."""
    if endpoint.kind is not EndpointKind.ENGINE or endpoint.state is not EndpointState.ACTIVE:
        return {}
    return {name: configuration.models[name].version for name in sorted(endpoint.models)}


def list_models_to_load(wanted: Mapping[str, str], reported: Mapping[str, str]) -> dict[str, str]:
    """Return the target versions of the models to load, by name of the model.

    A model that an endpoint runs but does not need stays loaded: requests are not sent to it,
    and unloading it would be one more order that can fail.
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
        configuration: The current configuration; a new one changes the result at once, which stops
            a rollout halfway.
        endpoint: The one to take out.
        out: Endpoints that are already out of use, to load a model or because they fail.
        limits: The limits on the speed of the rollout.

    Returns:
        Whether the limit on loads and the minimum share of each class and model allow it. A group
        whose endpoints are all in use always allows one, as a group of one could otherwise never
        load.
    """
    others = {name for name in out if name != endpoint.name and name in configuration.endpoints}
    if len(others) >= limits.max_loading:
        return False
    groups = [group for group in _list_groups(configuration) if endpoint.name in group]
    return all(_keeps_enough_slots(group, others, endpoint.name, limits) for group in groups)


def _list_groups(configuration: Configuration) -> list[dict[str, int]]:
    """Return, for each class and each model, the slots by active endpoint."""
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


def _keeps_enough_slots(
    group: Mapping[str, int], out: set[str], candidate: str, limits: RolloutLimits
) -> bool:
    if not out & set(group):
        return True
    remaining = sum(slots for name, slots in group.items() if name not in out and name != candidate)
    return remaining >= limits.min_slot_share * sum(group.values())
