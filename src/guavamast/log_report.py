"""What became of requests, from the log lines of all instances.

An engineer on call collects the lines of the instances and asks which routes lost their answers, at
which moments and for what reason, without searching for single ids.
"""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from guavamast.text_output import make_table

if TYPE_CHECKING:
    from collections.abc import Iterable

IN_TIME: Final = "in_time"
"""Answered, and not late by the instance's own clock."""
GROUPINGS: Final = ("route", "endpoint", "instance", "second")
"""By what requests can be grouped; seconds count from the first line."""
UNKNOWN_GROUP: Final = "(none)"
"""The group of requests that were refused before a route or endpoint was found."""
MAX_GROUPS: Final = 200
"""Rows of a table at most: a page that somebody still reads."""


@dataclass(slots=True, kw_only=True)
class GroupTally:
    """The requests of one route, endpoint or second."""

    name: str
    outcomes: Counter[str] = field(default_factory=Counter)
    """Requests by outcome; late answers by what made them late."""
    first_events_s: list[float] = field(default_factory=list)
    """Times to the first event of streams that were answered."""
    pauses_s: list[float] = field(default_factory=list)
    """Longest pauses of the same."""

    @property
    def total(self) -> int:
        """All requests that ended or were refused."""
        return sum(self.outcomes.values())


def read_lines(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the decoded lines; what stands before the object is left out.

    Lines that are no JSON object, such as those that a terminal broke, are skipped.
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


def tally(entries: list[dict[str, Any]], *, by: str) -> list[GroupTally]:
    """Return the outcomes of requests in groups.

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


def show_report(groups: list[GroupTally]) -> str:
    """Return the groups as a table, the worst outcomes after the best."""
    outcomes = sorted({name for group in groups for name in group.outcomes} - {IN_TIME})
    header = ["GROUP", "REQUESTS", "IN TIME", *(name.upper() for name in outcomes)]
    header += ["FIRST EVENT P50/P90 MS", "LONGEST PAUSE P50/P90 MS"]
    rows = []
    for group in groups:
        row: list[Any] = [group.name, group.total, group.outcomes[IN_TIME]]
        row += [group.outcomes[name] for name in outcomes]
        row += [_format_quantiles(group.first_events_s), _format_quantiles(group.pauses_s)]
        rows.append(row)
    return make_table(header, rows)


def _collect_sends(entries: list[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    """Return route and endpoint of each request from the lines of its sends."""
    sends: dict[str, dict[str, Any]] = {}
    for entry in entries:
        if entry["event"] == "sent":
            names = ("route", "endpoint")
            sends[str(entry.get("request_id"))] = {name: entry.get(name) for name in names}
    return sends


def _classify_outcome(entry: dict[str, Any]) -> str | None:
    """Return what a line says of the end of a request; None if it says nothing of it."""
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
