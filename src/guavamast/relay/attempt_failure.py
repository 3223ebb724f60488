"""Why an attempt at an endpoint produced no response."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

from guavamast.relay.endpoint_connection import ConnectionKind
from guavamast.relay.response_end import ResponseEnd
from guavamast.relay.unserved_cause import UnservedCause


class FailureKind(StrEnum):
    """Why an attempt produced no response."""

    OUTDATED = "outdated"
    """The decision to send the request is no longer valid; no byte was sent."""
    NOT_CONNECTED = "not_connected"
    """The endpoint can't be connected to, while others of its service can; no byte was sent."""
    NO_PATH = "no_path"
    """No endpoint of the service can be connected to from here; no byte was sent."""
    UNCONFIRMED = "unconfirmed"
    """It could not be confirmed that the endpoint runs what began the stream; no byte was sent."""
    REFUSED = "refused"
    """The endpoint states that it did not run the request."""
    MISDIRECTED = "misdirected"
    """The address now belongs to another endpoint; the intended one is gone."""
    LOST = "lost"
    """The connection ended, or the response was broken off; the request may have run."""
    INVALID = "invalid"
    """The data received is not a complete response to this request; it may have run."""
    UNBOUNDED = "unbounded"
    """The endpoint sends more bytes than a response may have; it may have run the request."""
    UNREAD = "unread"
    """The endpoint cut a response that this instance had left unread; the request may have run."""
    SILENT = "silent"
    """Nothing was received within the attempt's timeout; the request may have run."""
    ERROR = "error"
    """The endpoint ran the request and responded with an error of its own."""


OVERRUN_WEIGHT: Final = 6.0
"""Factor that a response without end has in the score of failures, as it costs memory that all
requests share."""
FAILURE_WEIGHTS: Final = {
    FailureKind.OUTDATED: 0.0,
    FailureKind.NOT_CONNECTED: 6.0,
    FailureKind.NO_PATH: 0.0,
    FailureKind.UNCONFIRMED: 0.0,
    FailureKind.REFUSED: 0.3,
    FailureKind.MISDIRECTED: 6.0,
    FailureKind.LOST: 1.0,
    FailureKind.INVALID: 1.0,
    FailureKind.UNBOUNDED: OVERRUN_WEIGHT,
    FailureKind.UNREAD: 0.0,
    FailureKind.SILENT: 1.0,
    FailureKind.ERROR: 0.3,
}
"""Weight of each failure in its endpoint's failure score. A rejection mostly means a full queue;
an error response may be the request's fault."""
EXCUSED_PAUSE_S: Final = 1.0
"""Seconds without reading after which an endpoint that cuts its response is not to blame."""
_NOT_EXECUTED_KINDS: Final = (
    FailureKind.OUTDATED,
    FailureKind.NOT_CONNECTED,
    FailureKind.NO_PATH,
    FailureKind.UNCONFIRMED,
    FailureKind.REFUSED,
    FailureKind.MISDIRECTED,
)


class AttemptFailed(Exception):
    """An attempt produced no response.

    Args:
        kind: Why.
        detail: What was observed, for the log.
        overrun: Whether the endpoint sent more bytes than a response may have.
    """

    def __init__(self, kind: FailureKind, detail: str, *, overrun: bool = False) -> None:
        super().__init__(f"{kind}: {detail}")
        self.kind = kind
        self.detail = detail
        self.overrun = overrun or kind is FailureKind.UNBOUNDED
        self.connection = ConnectionKind.NONE
        """Connection of the attempt."""
        self.end = ResponseEnd()
        """How its response ended."""

    @property
    def weight(self) -> float:
        """Weight of the failure in its endpoint's failure score."""
        return OVERRUN_WEIGHT if self.overrun else FAILURE_WEIGHTS[self.kind]

    @property
    def cause(self) -> UnservedCause:
        """Why the request gets nothing, if no other attempt follows."""
        full = self.kind is FailureKind.REFUSED
        return UnservedCause.ENDPOINT_FULL if full else UnservedCause.FAILED

    @property
    def not_run(self) -> bool:
        """Whether the endpoint certainly did not run the request and will not."""
        return self.kind in _NOT_EXECUTED_KINDS


def excuse_pause(failure: AttemptFailed, *, paused_s: float) -> None:
    """Change a failure that is no evidence against its endpoint, as it wasn't read for a time.

    Endpoints cut responses that stay unread.

    Args:
        failure: What ended the response.
        paused_s: Longest time for which this instance didn't read it.
    """
    if failure.kind is FailureKind.LOST and paused_s >= EXCUSED_PAUSE_S:
        failure.kind = FailureKind.UNREAD
        failure.detail = f"{failure.detail}, unread for {paused_s:.1f} s"
