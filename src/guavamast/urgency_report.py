"""Report of the urgent requests that got nothing, and the less urgent work that began meanwhile.

It reads the log lines of all instances. The attempts of one caller have ids of their own and mostly
reach different instances; the part of the prompt that is the caller's own joins them.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import Any, Final

from guavamast.text_output import format_table
from guavamast.urgency_order import (
    WINDOW_S,
    BegunWork,
    OrderWindow,
    RequestOutcome,
    find_worst_windows,
)

ATTEMPT_GAP_S: Final = 10.0
"""Seconds between two attempts with the same part of a prompt from which on they are two requests:
above the longest retry delay with the longest wait."""
ANSWERED: Final = "answered"


@dataclass(frozen=True, slots=True, kw_only=True)
class _Attempt:
    """The line that tells how one attempt ended."""

    time: float
    precedence: int
    service: str
    route: str
    tokens: int
    result: str
    """Why it was not answered, or `ANSWERED`."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UrgencyReport:
    """The windows of all kinds that come closest to a violation, with causes and places."""

    windows: list[OrderWindow]
    causes: dict[str, Counter[str]]
    """How the last attempts of unserved requests ended, by route, over all the time."""
    places: dict[str, Counter[str]]
    """Tokens of less urgent work that began, by route and then endpoint, in its worst window."""


def build_urgency_report(entries: list[dict[str, Any]]) -> UrgencyReport:
    """Return the report of decoded log lines.

    Args:
        entries: Lines of all instances.
    """
    outcomes: list[RequestOutcome] = []
    causes: dict[str, Counter[str]] = defaultdict(Counter)
    for attempts in _join_attempts(entries):
        last = attempts[-1]
        served = any(one.result == ANSWERED for one in attempts)
        if not served:
            causes[last.route][last.result] += 1
        outcomes.append(
            RequestOutcome(
                service=last.service,
                kind=last.route,
                precedence=last.precedence,
                tokens=last.tokens,
                asked_at=attempts[0].time,
                served=served,
            )
        )
    sends = [one for one in entries if one["event"] == "sent" and one.get("send") == 1]
    windows = find_worst_windows(outcomes, [_read_begun(one) for one in sends])
    precedences = {one.kind: one.precedence for one in outcomes}
    places = {
        window.kind: _count_places(sends, window, precedence=precedences[window.kind])
        for window in windows
    }
    return UrgencyReport(windows=windows, causes=causes, places=places)


def format_urgency_report(report: UrgencyReport) -> str:
    """Format the report as a table, a row for the worst window of each route."""
    header = ["ROUTE", "SERVICE", "FROM S", "REQUESTS", "GOT NOTHING", "TOKENS"]
    header += ["LESS URGENT TOKENS BEGUN", "SHARE OF THE LIMIT", "BY (WHOLE TIME)", "BEGUN AT"]
    rows: list[list[Any]] = []
    for window in report.windows:
        causes = report.causes.get(window.kind, Counter())
        rows.append(
            [
                window.kind,
                window.service,
                f"{window.from_s:.3f}",
                window.requests,
                window.unserved,
                window.unserved_tokens,
                window.less_urgent_tokens,
                f"{window.used_share:.2f}",
                _format_counts(causes),
                _format_counts(report.places[window.kind]),
            ]
        )
    return format_table(header, rows)


def _format_counts(counts: Counter[str]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.most_common(3)) or "-"


def _join_attempts(entries: list[dict[str, Any]]) -> list[list[_Attempt]]:
    """Return the ended attempts of each request in the order of their ends."""
    by_part: dict[str, list[_Attempt]] = defaultdict(list)
    for entry in entries:
        if entry["event"] in ("ended", "refused") and entry.get("caller_part"):
            by_part[str(entry["caller_part"])].append(_read_attempt(entry))
    requests: list[list[_Attempt]] = []
    for attempts in by_part.values():
        attempts.sort(key=lambda one: one.time)
        for number, attempt in enumerate(attempts):
            previous = attempts[number - 1] if number else None
            if (
                previous is None
                or previous.result == ANSWERED
                or attempt.time - previous.time > ATTEMPT_GAP_S
            ):
                requests.append([])
            requests[-1].append(attempt)
    return requests


def _read_attempt(entry: dict[str, Any]) -> _Attempt:
    took_s = float(entry.get("took_s") or 0.0)
    answered = entry.get("outcome") == "answered" and int(entry.get("status") or 200) < 300
    return _Attempt(
        time=float(entry["time"]) - took_s,
        precedence=int(entry.get("precedence") or 0),
        service=str(entry.get("service")),
        route=str(entry.get("route")),
        tokens=int(entry.get("prompt_tokens") or 0),
        result=ANSWERED if answered else str(entry.get("cause") or entry.get("reason")),
    )


def _read_begun(entry: dict[str, Any]) -> BegunWork:
    return BegunWork(
        service=str(entry.get("service")),
        precedence=int(entry.get("precedence") or 0),
        tokens=int(entry.get("prompt_tokens") or 0),
        began_at=float(entry["time"]),
    )


def _count_places(
    sends: list[dict[str, Any]], window: OrderWindow, *, precedence: int
) -> Counter[str]:
    """Return the tokens of less urgent work that began in a window, by endpoint."""
    places: Counter[str] = Counter()
    for entry in sends:
        begun = _read_begun(entry)
        in_window = window.from_s <= begun.began_at < window.from_s + WINDOW_S
        if in_window and begun.service == window.service and begun.precedence > precedence:
            places[str(entry.get("endpoint"))] += begun.tokens
    return places
