"""Counts of usage windows that are written down before they are fixed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from guavamast.compact_json import encode_json
from guavamast.decoding import Decoding, decode_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.duties.usage_counter import WindowCounts


@dataclass(frozen=True, slots=True, kw_only=True)
class SavedUsage:
    """Counts that a holder had collected, for the next one if all processes end at once."""

    ended: WindowCounts = field(default_factory=dict)
    """Counts of processes that have certainly ended."""
    reporting: WindowCounts = field(default_factory=dict)
    """Counts of the processes that had reported to the holder since it started."""
    processes: dict[str, int] = field(default_factory=dict)
    """Newest incarnation of each instance among these processes."""

    def encode(self) -> str:
        """Return the text of the record."""
        return encode_json(
            {
                "ended": _encode_windows(self.ended),
                "reporting": _encode_windows(self.reporting),
                "processes": self.processes,
            }
        )

    def count(self, window: int, *, reported: dict[str, int], any_alive: bool) -> dict[str, int]:
        """Return the counts of a window, with those that processes report at present.

        A process that still reports includes what it had reported before. So while one of the
        saved processes is alive, the saved counts are a lower bound and not added.

        Args:
            window: The window.
            reported: Its counts by what processes report at present.
            any_alive: Whether one of the saved processes still reports.
        """
        saved = self.reporting.get(window, {})
        combine = max if any_alive else _add
        return _combine(self.ended.get(window, {}), _combine(saved, reported, combine), _add)

    def drop_through(self, window: int) -> SavedUsage:
        """Return the counts without a window and those before it, which are fixed."""
        return SavedUsage(
            ended={key: counts for key, counts in self.ended.items() if key > window},
            reporting={key: counts for key, counts in self.reporting.items() if key > window},
            processes=self.processes,
        )


def decode_saved_usage(text: str) -> SavedUsage:
    """Return the counts in a record.

    Raises:
        MalformedData: The text is not such a record.
    """
    with Decoding("saved usage"):
        fields = decode_json(text)
        return SavedUsage(
            ended=_decode_windows(fields["ended"]),
            reporting=_decode_windows(fields["reporting"]),
            processes={str(name): int(one) for name, one in fields["processes"].items()},
        )


def _encode_windows(windows: WindowCounts) -> dict[str, dict[str, int]]:
    return {str(window): counts for window, counts in sorted(windows.items())}


def _decode_windows(value: dict[str, Any]) -> WindowCounts:
    return {
        int(window): {str(name): int(count) for name, count in counts.items()}
        for window, counts in value.items()
    }


def _combine(
    one: dict[str, int], other: dict[str, int], combine: Callable[[int, int], int]
) -> dict[str, int]:
    names = {*one, *other}
    return {name: combine(one.get(name, 0), other.get(name, 0)) for name in sorted(names)}


def _add(one: int, other: int) -> int:
    return one + other
