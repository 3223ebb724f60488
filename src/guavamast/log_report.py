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
UNKNOWN: Final = "(none)"
"""The group of requests that were refused before a route or endpoint was found."""
MOST_GROUPS: Final = 200
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
    facts = _collect_facts(entries)
    began = min((float(entry["time"]) for entry in entries if "time" in entry), default=0.0)
    groups: dict[str, GroupTally] = {}
    for entry in entries:
        outcome = _find_outcome(entry)
        if outcome is None:
            continue
        known = facts.get(str(entry.get("request_id")), {}) | entry
        name = _find_group(known, by=by, began=began)
        group = groups.setdefault(name, GroupTally(name=name))
        group.outcomes[outcome] += 1
        if entry.get("first_event_s"):
            group.first_events_s.append(float(entry["first_event_s"]))
            group.pauses_s.append(float(entry["longest_pause_s"]))
    return [groups[name] for name in sorted(groups)][:MOST_GROUPS]


def show_report(groups: list[GroupTally]) -> str:
    """Return the groups as a table, the worst outcomes after the best."""
    outcomes = sorted({name for group in groups for name in group.outcomes} - {IN_TIME})
    header = ["GROUP", "REQUESTS", "IN TIME", *(name.upper() for name in outcomes)]
    header += ["FIRST EVENT P50/P90 MS", "LONGEST PAUSE P50/P90 MS"]
    rows = []
    for group in groups:
        row: list[Any] = [group.name, group.total, group.outcomes[IN_TIME]]
        row += [group.outcomes[name] for name in outcomes]
        row += [_show_quantiles(group.first_events_s), _show_quantiles(group.pauses_s)]
        rows.append(row)
    return make_table(header, rows)


def _collect_facts(entries: list[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    """Return route and endpoint of each request from the lines of its sends."""
    facts: dict[str, dict[str, Any]] = {}
    for entry in entries:
        if entry["event"] == "sent":
            names = ("route", "endpoint")
            facts[str(entry.get("request_id"))] = {name: entry.get(name) for name in names}
    return facts


def _find_outcome(entry: dict[str, Any]) -> str | None:
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


def _find_group(entry: dict[str, Any], *, by: str, began: float) -> str:
    if by == "second":
        return f"{int(float(entry['time']) - began):5d}"
    return str(entry.get(by) or UNKNOWN)


def _show_quantiles(values: list[float]) -> str:
    if not values:
        return "-"
    ordered = sorted(values)
    chosen = (ordered[int(len(ordered) * share)] for share in (0.5, 0.9))
    return "/".join(f"{value * 1000:.0f}" for value in chosen)
