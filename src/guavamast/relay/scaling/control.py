"""What operators have set for the orders of engines."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.decoding import Decoding, decode_json
from guavamast.leases import LeaseRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

CONTROL_KEY: Final = "control"
"""Key of the record that operators write."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ScalingControl:
    """Limits on automatic orders."""

    paused: bool = False
    """Whether engines stay as they are."""
    floor: int = 0
    """Engines of each service, in all failure domains together, that are kept at least."""
    by: str = ""
    """Who has set it."""

    def build_record(self) -> LeaseRecord:
        """Return the record."""
        fields = {"paused": self.paused, "floor": self.floor, "by": self.by}
        return LeaseRecord(key=CONTROL_KEY, text=json.dumps(fields))


def find_control(records: Iterable[LeaseRecord]) -> ScalingControl:
    """Return what operators have set; nothing if there is no record.

    Raises:
        MalformedData: The record can't be decoded.
    """
    for record in records:
        if record.key == CONTROL_KEY and record.text is not None:
            with Decoding("scaling control"):
                fields = decode_json(record.text)
                return ScalingControl(
                    paused=bool(fields["paused"]), floor=int(fields["floor"]), by=str(fields["by"])
                )
    return ScalingControl()
