"""What one instance has to report to others, until it has been repeated often enough."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.quarantine.records import EndpointEnd, EndpointIncarnation

REPEAT_S: Final = 3.0
"""Seconds for which each report is repeated, as any datagram may be lost."""
CLEARANCE_REPEAT_S: Final = 1.0
"""Seconds for which the clearance of an attribute is repeated that isn't in quarantine. An instance
that misses it is told by the next answer."""


class OutgoingReports:
    """The ends, clearances and quarantines that an instance reports for a while."""

    __slots__ = ("_cleared", "_ends", "_expires", "_quarantined")

    def __init__(self) -> None:
        self._ends: dict[EndpointIncarnation, EndpointEnd] = {}
        self._expires: dict[EndpointIncarnation, float] = {}
        self._cleared: dict[str, float] = {}
        self._quarantined: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._ends or self._cleared or self._quarantined)

    def add_end(self, end: EndpointEnd, *, now: float) -> None:
        """Report an end; what was lost there before is reported with it."""
        known = self._ends.get(end.incarnation)
        if known is not None:
            end = replace(known, lost=known.lost | end.lost)
        self._ends[end.incarnation] = end
        self._expires[end.incarnation] = now + REPEAT_S

    def add_clearance(self, attribute: str, *, released: bool, now: float) -> None:
        """Report that an attribute was cleared, and no longer that it is in quarantine.

        Args:
            attribute: The attribute.
            released: Whether it was in quarantine.
            now: The current time.
        """
        self._cleared[attribute] = now + (REPEAT_S if released else CLEARANCE_REPEAT_S)
        self._quarantined.pop(attribute, None)

    def drop_clearance(self, attribute: str) -> None:
        """Leave the repeating to another instance that reports the same."""
        self._cleared.pop(attribute, None)

    def add_quarantine(self, attribute: str, *, now: float) -> None:
        """Report that an attribute is in quarantine."""
        self._quarantined[attribute] = now + REPEAT_S

    def drop_quarantine(self, attribute: str) -> None:
        """Leave the repeating to another instance that reports the same."""
        self._quarantined.pop(attribute, None)

    def list_ends(self) -> list[EndpointEnd]:
        """Return the ends to report."""
        return list(self._ends.values())

    def list_cleared(self) -> list[str]:
        """Return the cleared attributes to report."""
        return list(self._cleared)

    def list_quarantined(self) -> list[str]:
        """Return the attributes whose quarantine is to be reported."""
        return list(self._quarantined)

    def drop_expired(self, *, now: float) -> None:
        """Drop what has been repeated often enough."""
        for incarnation, until in list(self._expires.items()):
            if until < now:
                del self._expires[incarnation]
                del self._ends[incarnation]
        self._cleared = {key: until for key, until in self._cleared.items() if until >= now}
        self._quarantined = {key: until for key, until in self._quarantined.items() if until >= now}
