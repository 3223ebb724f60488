"""Status codes of HTTP responses (RFC 9110, section 15)."""

from __future__ import annotations

from typing import Final

MIN_FINAL_STATUS: Final = 200
"""Below it, a response is interim, or its status is none of HTTP."""
MAX_STATUS: Final = 599


def is_final_status(status: int) -> bool:
    """Return whether a status is that of a final response.

    A server in trouble may send any other number. Its caller must not get it as an answer, nor may
    what it says count.
    """
    return MIN_FINAL_STATUS <= status <= MAX_STATUS
