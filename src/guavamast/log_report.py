"""Report of request outcomes from the log lines of all instances.

It shows an engineer on call which routes lost responses, when and for what reason, without a search
for single request ids.
"""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from guavamast.text_output import format_table

if TYPE_CHECKING:
    from collections.abc import Iterable

IN_TIME: Final = "in_time"
"""Answered, and not late by the instance's own clock."""
GROUPINGS: Final = ("route", "endpoint", "instance", "second")
"""Fields by which requests can be grouped; seconds count from the earliest line."""
UNKNOWN_GROUP: Final = "(none)"
"""Group of requests that were rejected before a route or endpoint was found."""
MAX_GROUPS: Final = 200
"""Maximum rows of a table, so that it stays readable."""


@dataclass(slots=True, kw_only=True)
class GroupTally:
    """The requests of one group: a route, endpoint, instance or second."""

    name: str
    outcomes: Counter[str] = field(default_factory=Counter)
    """Number of requests by outcome; late responses by the cause of their delay."""
    first_events_s: list[float] = field(default_factory=list)
    """Seconds to the first event of streams that were answered."""
    pauses_s: list[float] = field(default_factory=list)
    """Longest pauses of the same streams, in seconds."""

    @property
    def total(self) -> int:
        """Number of requests that ended or were rejected."""
        return sum(self.outcomes.values())


def decode_lines(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the decoded lines; text before the JSON object is left out.

    Lines that are no JSON object, such as those that a terminal wrapped, are skipped.
    """
    entries = []
    for line in lines:
        _, brace, rest = line.partition("{")
        try:
            entry = json.loads(brace + rest)
        except ValueError:
            continue
        if isinstance(entry, dict) and "event" in entry:
            entries.append(entry)
    return entries


def count_outcomes(entries: list[dict[str, Any]], *, by: str) -> list[GroupTally]:
    """Count the outcomes of requests by group.

    Args:
        entries: Decoded lines of all instances.
        by: One of `GROUPINGS`.
    """
    sends = _collect_sends(entries)
    first_time = min((float(entry["time"]) for entry in entries if "time" in entry), default=0.0)
    groups: dict[str, GroupTally] = {}
    for entry in entries:
        outcome = _classify_outcome(entry)
        if outcome is None:
            continue
        merged = sends.get(str(entry.get("request_id")), {}) | entry
        name = _select_group(merged, by=by, first_time=first_time)
        group = groups.setdefault(name, GroupTally(name=name))
        group.outcomes[outcome] += 1
        if entry.get("first_event_s"):
            group.first_events_s.append(float(entry["first_event_s"]))
            group.pauses_s.append(float(entry["longest_pause_s"]))
    return [groups[name] for name in sorted(groups)][:MAX_GROUPS]


def format_report(groups: list[GroupTally]) -> str:
    """Format the groups as a table, with requests in time before all other outcomes."""
    outcomes = sorted({name for group in groups for name in group.outcomes} - {IN_TIME})
    header = ["GROUP", "REQUESTS", "IN TIME", *(name.upper() for name in outcomes)]
    header += ["FIRST EVENT P50/P90 MS", "LONGEST PAUSE P50/P90 MS"]
    rows = []
    for group in groups:
        row: list[Any] = [group.name, group.total, group.outcomes[IN_TIME]]
        row += [group.outcomes[name] for name in outcomes]
        row += [_format_quantiles(group.first_events_s), _format_quantiles(group.pauses_s)]
        rows.append(row)
    return format_table(header, rows)


def _collect_sends(entries: list[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    """Return the route and endpoint of each request's last send."""
    sends: dict[str, dict[str, Any]] = {}
    for entry in entries:
        if entry["event"] == "sent":
            names = ("route", "endpoint")
            sends[str(entry.get("request_id"))] = {name: entry.get(name) for name in names}
    return sends


def _classify_outcome(entry: dict[str, Any]) -> str | None:
    """Return the outcome of a request that a line records; None if it records none."""
    if entry["event"] == "refused":
        return f"refused {entry.get('reason', '')}".strip()
    if entry["event"] != "ended":
        return None
    outcome = str(entry.get("outcome"))
    if outcome != "answered":
        return outcome
    if int(entry.get("status") or 200) >= 500:
        return "error"
    late = entry.get("late")
    return f"late {late}" if late else IN_TIME


def _select_group(entry: dict[str, Any], *, by: str, first_time: float) -> str:
    if by == "second":
        return f"{int(float(entry['time']) - first_time):5d}"
    return str(entry.get(by) or UNKNOWN_GROUP)


def _format_quantiles(values: list[float]) -> str:
    if not values:
        return "-"
    ordered = sorted(values)
    quantiles = (ordered[int(len(ordered) * share)] for share in (0.5, 0.9))
    return "/".join(f"{value * 1000:.0f}" for value in quantiles)
