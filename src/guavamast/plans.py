"""Plans: the changes of a proposed configuration and their effects on the fleet."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Final

from guavamast.capacity import compute_capacities
from guavamast.changes import compute_changes, list_drains
from guavamast.fleet_objects import EndpointKind, EndpointState, Fencing

if TYPE_CHECKING:
    from collections.abc import Iterator

    from guavamast.capacity import ClassCapacity
    from guavamast.changes import Change
    from guavamast.fleet_objects import Configuration, Endpoint


_VERSION_COMMENT: Final = re.compile(r"# version ([0-9]{1,10})\r?\n")


class WarningCode(StrEnum):
    """Kinds of warnings to review before confirming a plan."""

    NOTHING_CHANGES = "nothing_changes"
    OLDER_TEXT = "older_text"
    CLASS_WITHOUT_ENDPOINTS = "class_without_endpoints"
    CLASS_WITHOUT_SHARE = "class_without_share"
    CLASS_UNUSED = "class_unused"
    CAPACITY_LOWER = "capacity_lower"
    MODEL_WITHOUT_ENDPOINTS = "model_without_endpoints"
    DRAIN = "drain"
    REMOVED_WITHOUT_DRAIN = "removed_without_drain"
    ORGANISATION_REMOVED = "organisation_removed"
    CALL_MADE_IDEMPOTENT = "call_made_idempotent"
    FENCING_IGNORED = "fencing_ignored"


@dataclass(frozen=True, slots=True, kw_only=True)
class PlanWarning:
    """A warning about one section of the proposal."""

    code: WarningCode
    message: str

    def __str__(self) -> str:
        return f"{self.code} {self.message}"


@dataclass(frozen=True, slots=True, kw_only=True)
class CapacityChange:
    """The slots and active endpoints of one class under the base and the proposal."""

    class_name: str
    slots_before: int
    slots_after: int
    endpoints_before: int
    endpoints_after: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """The comparison of a proposed configuration with its base version."""

    id: str
    base_version: int
    text: str
    """The proposed configuration as INI."""
    proposed_by: str
    proposed_at: float
    """Seconds since the epoch."""
    changes: tuple[Change, ...]
    warnings: tuple[PlanWarning, ...]
    capacities: tuple[CapacityChange, ...]
    """For each class used by the base or the proposal, sorted by name."""
    drains: tuple[str, ...]
    """Sections of the endpoints and instances whose drain begins."""
    fencing_ignored: tuple[str, ...]
    """Engines of the proposal that do not reject orders with an old fencing number."""


def split_version_comment(text: str) -> tuple[int | None, str]:
    """Return the version from the text's leading comment, or None, and the remaining text."""
    comment = _VERSION_COMMENT.match(text)
    if comment is None:
        return None, text
    return int(comment.group(1)), text[comment.end() :]


def build_version_comment(version: int) -> str:
    """Return the comment line that marks a text with the version it was edited from."""
    return f"# version {version}\n"


def compute_plan(
    *,
    plan_id: str,
    base: Configuration,
    proposed: Configuration,
    proposed_by: str,
    now: float,
    taken_from: int | None = None,
) -> Plan:
    """Compare a proposal with the configuration in force.

    Args:
        plan_id: The plan's id; resolves a confirmation whose response was lost.
        base: The configuration in force.
        proposed: The validated proposal.
        proposed_by: The operator's name.
        now: Seconds since the epoch.
        taken_from: Version that the proposal's text was edited from, if it is known.

    Returns:
        The plan; computing it has no effect on the fleet.
    """
    changes = compute_changes(base, proposed)
    before, after = compute_capacities(base), compute_capacities(proposed)
    warnings = [] if changes else [_warn(WarningCode.NOTHING_CHANGES, "the plan changes nothing")]
    warnings.extend(_warn_of_older_text(base, taken_from))
    warnings.extend(_warn_of_classes(proposed, before, after))
    warnings.extend(_warn_of_models(base, proposed))
    warnings.extend(_warn_of_endpoints(base, proposed))
    warnings.extend(_warn_of_callers(base, proposed))
    return Plan(
        id=plan_id,
        base_version=base.version,
        text=proposed.text,
        proposed_by=proposed_by,
        proposed_at=now,
        changes=tuple(changes),
        warnings=tuple(warnings),
        capacities=tuple(_compare_capacities(before, after)),
        drains=tuple(list_drains(base, proposed)),
        fencing_ignored=tuple(
            endpoint.name
            for endpoint in proposed.endpoints.values()
            if endpoint.kind is EndpointKind.ENGINE and endpoint.fencing is Fencing.IGNORED
        ),
    )


def _warn(code: WarningCode, message: str) -> PlanWarning:
    return PlanWarning(code=code, message=message)


def _warn_of_older_text(base: Configuration, taken_from: int | None) -> Iterator[PlanWarning]:
    """Warn when the text was edited from a version that is not in force.

    Failure: an operator edits version 5 while version 6 of another operator is accepted. The
    plan is computed against version 6 and would silently undo its change. This can be intended,
    as a rollback to an earlier version, so it is only a warning.
    """
    if taken_from is not None and taken_from != base.version:
        message = (
            f"the text was edited from version {taken_from}, version {base.version} is in force; "
            "this plan undoes the changes between them"
        )
        yield _warn(WarningCode.OLDER_TEXT, message)


def _compare_capacities(
    before: dict[str, ClassCapacity], after: dict[str, ClassCapacity]
) -> Iterator[CapacityChange]:
    for name in sorted(before.keys() | after.keys()):
        old, new = before.get(name), after.get(name)
        yield CapacityChange(
            class_name=name,
            slots_before=old.slots if old else 0,
            slots_after=new.slots if new else 0,
            endpoints_before=len(old.active) if old else 0,
            endpoints_after=len(new.active) if new else 0,
        )


def _warn_of_classes(
    proposed: Configuration, before: dict[str, ClassCapacity], after: dict[str, ClassCapacity]
) -> Iterator[PlanWarning]:
    for name, service_class in proposed.classes.items():
        if name not in after:
            yield _warn(WarningCode.CLASS_UNUSED, f"no organisation uses [class {name}]")
            continue
        new, old = after[name], before.get(name)
        if not new.active:
            message = f"[class {name}] has no active endpoint left; its requests are rejected"
            yield _warn(WarningCode.CLASS_WITHOUT_ENDPOINTS, message)
        elif old and new.slots < old.slots:
            message = f"[class {name}] goes from {old.slots} to {new.slots} slots"
            yield _warn(WarningCode.CAPACITY_LOWER, message)
        competing_classes = [
            other
            for other, capacity in sorted(after.items())
            if proposed.classes[other].tier < service_class.tier
            and capacity.endpoints & new.endpoints
        ]
        if competing_classes and not service_class.guaranteed_share:
            message = (
                f"[class {name}] has no guaranteed_share; "
                f"[class {competing_classes[0]}] can starve it"
            )
            yield _warn(WarningCode.CLASS_WITHOUT_SHARE, message)


def _list_active_models(configuration: Configuration) -> set[str]:
    return {
        model
        for endpoint in configuration.endpoints.values()
        if endpoint.state is EndpointState.ACTIVE
        for model in endpoint.models
    }


def _warn_of_models(base: Configuration, proposed: Configuration) -> Iterator[PlanWarning]:
    served = _list_active_models(proposed)
    for name in sorted(_list_active_models(base) - served):
        message = f"no active endpoint serves model {name} any more; requests for it are rejected"
        yield _warn(WarningCode.MODEL_WITHOUT_ENDPOINTS, message)


def _warn_of_endpoints(base: Configuration, proposed: Configuration) -> Iterator[PlanWarning]:
    for section in list_drains(base, proposed):
        message = f"[{section}] accepts no new work; running work finishes"
        yield _warn(WarningCode.DRAIN, message)
    for name, endpoint in base.endpoints.items():
        if name not in proposed.endpoints and endpoint.state is EndpointState.ACTIVE:
            message = f"[endpoint {name}] is removed while active; drain it before removing it"
            yield _warn(WarningCode.REMOVED_WITHOUT_DRAIN, message)
    for endpoint in proposed.endpoints.values():
        if endpoint.fencing is Fencing.IGNORED and receives_orders(endpoint, base, proposed):
            message = (
                f"[endpoint {endpoint.name}] receives orders and ignores fencing numbers; "
                "orders are sent one at a time and verified afterwards"
            )
            yield _warn(WarningCode.FENCING_IGNORED, message)


def receives_orders(endpoint: Endpoint, base: Configuration, proposed: Configuration) -> bool:
    """Return whether a proposed engine must load or unload models."""
    if endpoint.kind is not EndpointKind.ENGINE or endpoint.state is not EndpointState.ACTIVE:
        return False
    old = base.endpoints.get(endpoint.name)
    if old is None or old.models != endpoint.models:
        return True
    return any(base.models.get(name) != proposed.models.get(name) for name in endpoint.models)


def _warn_of_callers(base: Configuration, proposed: Configuration) -> Iterator[PlanWarning]:
    for name in base.organisations:
        if name not in proposed.organisations:
            message = f"[organisation {name}] is removed; its callers get status 401"
            yield _warn(WarningCode.ORGANISATION_REMOVED, message)
    for (service, call), rule in proposed.calls.items():
        old = base.calls.get((service, call))
        if rule.idempotent and base.version and not (old and old.idempotent):
            message = f"[call {service}.{call}] becomes idempotent; it may be retried"
            yield _warn(WarningCode.CALL_MADE_IDEMPOTENT, message)
