"""Formatting of tables and texts for the command line."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

_MAX_SHOWN_CHANGES: Final = 200


def format_table(header: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return rows in aligned columns under a header, or ``none`` without rows."""
    if not rows:
        return "none"
    cells = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]
    return "\n".join(lines)


def format_time(seconds: float) -> str:
    """Return seconds since the epoch as a UTC timestamp."""
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(seconds))


def format_plan(plan: dict[str, Any]) -> str:
    """Return a plan as readable text."""
    parts = [f"plan {plan['id']} against version {plan['base_version']}"]
    parts += ["", "changes:", _format_changes(plan["changes"])]
    capacities = [
        (
            item["class_name"],
            f"{item['slots_before']} -> {item['slots_after']}",
            f"{item['endpoints_before']} -> {item['endpoints_after']}",
        )
        for item in plan["capacities"]
    ]
    parts += ["", format_table(("CLASS", "SLOTS", "ACTIVE ENDPOINTS"), capacities)]
    warnings = [f"  {item['code']} {item['message']}" for item in plan["warnings"]]
    parts += ["", "warnings:", *(warnings or ["  none"])]
    if plan["fencing_ignored"]:
        parts += ["", f"ignore fencing numbers: {', '.join(plan['fencing_ignored'])}"]
    return "\n".join(parts)


def _format_changes(changes: list[dict[str, str]]) -> str:
    shown = [_format_change(change) for change in changes[:_MAX_SHOWN_CHANGES]]
    if len(changes) > len(shown):
        shown.append(f"  and {len(changes) - len(shown)} more; --json prints all")
    return "\n".join(shown) or "  none"


def _format_change(change: dict[str, str]) -> str:
    if change["kind"] == "changed":
        values = f"{change['before'] or '-'} -> {change['after'] or '-'}"
        return f"  [{change['section']}] {change['key']}: {values}"
    return f"  [{change['section']}] {change['kind']}"


def format_conflict(details: dict[str, Any]) -> str:
    """Return the versions accepted since a plan was computed and their changes."""
    accepted = [
        (record["version"], record["who"], format_time(record["at"]), record["plan"])
        for record in details.get("accepted", [])
    ]
    table = format_table(("VERSION", "WHO", "WHEN", "PLAN"), accepted)
    changes = _format_changes(details.get("difference", []))
    return f"accepted since:\n{table}\nwhat it changed:\n{changes}"


def format_status(status: dict[str, Any]) -> str:
    """Return the instances and endpoints as readable text."""
    instances = [
        (
            item["name"],
            item["failure_domain"],
            item["state"],
            item["configuration_version"],
            item["caller_address"],
            f"{item['load']:g}",
        )
        for item in status["instances"]
    ]
    header = ("INSTANCE", "FAILURE DOMAIN", "STATE", "VERSION", "ADDRESS", "IN FLIGHT")
    parts = [f"version {status['configuration_version']} at {status['answered_by']}"]
    parts += ["", format_table(header, instances)]
    if status["behind"]:
        parts += ["", f"not yet at the latest version: {', '.join(status['behind'])}"]
    endpoints = [
        (item["name"], item["state"], item["keeper"] or "-", item["in_flight"])
        for item in status["endpoints"]
    ]
    if endpoints:
        parts += ["", format_table(("ENDPOINT", "STATE", "KEEPER", "IN FLIGHT HERE"), endpoints)]
    return "\n".join(parts)


def format_audit(audit: dict[str, Any]) -> str:
    """Return the audit trail as a table, newest first."""
    rows = [
        (
            record["version"],
            format_time(record["at"]),
            record["who"],
            record["plan"],
            record["change_count"],
            "; ".join(record["changes"][:2]) + (" ..." if record["change_count"] > 2 else ""),
        )
        for record in audit["records"]
    ]
    return format_table(("VERSION", "WHEN", "WHO", "PLAN", "CHANGES", "FIRST OF THEM"), rows)
