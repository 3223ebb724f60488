"""Typed differences between two configurations."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields, is_dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from guavamast.fleet_objects import EndpointState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from guavamast.fleet_objects import Configuration


class ChangeKind(StrEnum):
    """Kind of change of a section or of one of its keys."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One difference between two configurations."""

    kind: ChangeKind
    section: str
    """Header without brackets, such as ``class drafting``."""
    key: str = ""
    """The changed key; empty when the whole section was added or removed."""
    before: str = ""
    after: str = ""

    def __str__(self) -> str:
        if self.kind is ChangeKind.CHANGED:
            return f"[{self.section}] {self.key}: {self.before or '-'} -> {self.after or '-'}"
        return f"[{self.section}] {self.kind}"


def compute_changes(before: Configuration, after: Configuration) -> list[Change]:
    """Return the differences between two configurations, sorted by section and key order."""
    old, new = _list_sections(before), _list_sections(after)
    changes: list[Change] = []
    for section in sorted(old.keys() | new.keys()):
        if section not in new:
            changes.append(Change(kind=ChangeKind.REMOVED, section=section))
        elif section not in old:
            changes.append(Change(kind=ChangeKind.ADDED, section=section))
        elif old[section] is not new[section]:
            changes.extend(_compare(section, old[section], new[section]))
    return changes


def list_drains(before: Configuration, after: Configuration) -> list[str]:
    """Return the sections of the endpoints and instances whose state becomes ``leaving``."""
    endpoints = [
        f"endpoint {endpoint.name}"
        for endpoint in after.endpoints.values()
        if endpoint.state is EndpointState.LEAVING
        and endpoint.name in before.endpoints
        and before.endpoints[endpoint.name].state is EndpointState.ACTIVE
    ]
    instances = sorted(after.leaving_instances - before.leaving_instances)
    return [*endpoints, *(f"instance {name}" for name in instances)]


def _list_sections(configuration: Configuration) -> dict[str, Any]:
    """Return the objects of a configuration by section header."""
    sections: dict[str, Any] = {}
    objects_by_kind = {
        "class": configuration.classes,
        "organisation": configuration.organisations,
        "endpoint": configuration.endpoints,
        "model": configuration.models,
    }
    for kind, objects in objects_by_kind.items():
        sections.update({f"{kind} {name}": value for name, value in objects.items()})
    for (service, call), rule in configuration.calls.items():
        sections[f"call {service}.{call}"] = rule
    for name in configuration.leaving_instances:
        sections[f"instance {name}"] = EndpointState.LEAVING
    return sections


def _compare(section: str, old: Any, new: Any) -> Iterator[Change]:
    before, after = dict(_list_values(old)), dict(_list_values(new))
    for key in after:
        if before[key] != after[key]:
            yield Change(
                kind=ChangeKind.CHANGED,
                section=section,
                key=key,
                before=before[key],
                after=after[key],
            )


def _list_values(value: Any) -> Iterator[tuple[str, str]]:
    """Yield the keys of an object with their values, formatted as in the INI file."""
    if not is_dataclass(value):
        return
    for field in fields(value):
        item = getattr(value, field.name)
        if is_dataclass(item):
            yield from _list_values(item)
        else:
            yield field.name, _format(item)


def _format(value: Any) -> str:
    if isinstance(value, Mapping):
        return ", ".join(f"{left}:{right}" for left, right in value.items())
    if isinstance(value, frozenset):
        return ", ".join(sorted(value))
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:.12g}" if isinstance(value, float) else str(value)
