"""Codec of the rows of attributes in quarantine, and of the evidence."""

from __future__ import annotations

from base64 import b64decode, b64encode
from typing import Any

from guavamast.decoding import Decoding
from guavamast.relay.store import QuarantineRow


def encode_evidence(report: bytes) -> dict[str, Any]:
    """Return the value of the row with the evidence."""
    return {"report": b64encode(report).decode()}


def decode_evidence(fields: Any) -> bytes:
    """Return the report in the row with the evidence.

    Raises:
        MalformedData: The value is not that of such a row.
    """
    with Decoding("evidence"):
        return b64decode(fields["report"], validate=True)


def encode_quarantine_row(row: QuarantineRow) -> dict[str, Any]:
    """Return the value of a row."""
    return {
        "organisation": row.organisation,
        "ends": row.ends,
        "trials_left": row.trials_left,
        "lifted_by": row.lifted_by,
    }


def decode_quarantine_row(key: str, fields: Any, *, version: int) -> QuarantineRow:
    """Return the row of an attribute.

    Args:
        key: Name of the attribute.
        fields: The decoded value of the row.
        version: The row's version in the store.

    Raises:
        MalformedData: The value is not that of such a row.
    """
    with Decoding("quarantine"):
        key.encode()  # A lone surrogate fails wherever the attribute is compared later.
        organisation = fields["organisation"]
        lifted_by = fields["lifted_by"]
        return QuarantineRow(
            attribute=key,
            version=version,
            organisation=None if organisation is None else str(organisation),
            ends=int(fields["ends"]),
            trials_left=int(fields["trials_left"]),
            lifted_by=None if lifted_by is None else str(lifted_by),
        )
