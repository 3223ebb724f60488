"""Codec of the rows of contents in quarantine."""

from __future__ import annotations

from typing import Any

from guavamast.relay.store import QuarantineRow


def encode_quarantine_row(row: QuarantineRow) -> dict[str, Any]:
    """Return the value of a row."""
    return {
        "organisation": row.organisation,
        "ends": row.ends,
        "trials_left": row.trials_left,
        "lifted_by": row.lifted_by,
    }


def decode_quarantine_row(key: str, fields: Any, *, version: int) -> QuarantineRow:
    """Return the row of a content.

    Args:
        key: Digest of the content.
        fields: The decoded value of the row.
        version: The row's version in the store.

    Raises:
        KeyError, TypeError, ValueError: The value is not that of such a row.
    """
    organisation = fields["organisation"]
    lifted_by = fields["lifted_by"]
    return QuarantineRow(
        content=key,
        version=version,
        organisation=None if organisation is None else str(organisation),
        ends=int(fields["ends"]),
        trials_left=int(fields["trials_left"]),
        lifted_by=None if lifted_by is None else str(lifted_by),
    )
