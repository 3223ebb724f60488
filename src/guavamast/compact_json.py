"""Encoding of values as JSON without spaces, for datagrams, log lines, rows and events."""

from __future__ import annotations

import json
from typing import Any, Final

_ENCODER: Final = json.JSONEncoder(separators=(",", ":"))


def encode_json(value: Any) -> str:
    """Return a value as JSON without spaces, in ASCII."""
    return _ENCODER.encode(value)
