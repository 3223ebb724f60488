"""Error codes, outcomes and the exceptions that carry them."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """What is known about the work of a request that ended without a response."""

    NOT_RUN = "not_run"
    """No endpoint received any byte of the request."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    """The request was or may have been sent, and its result is unknown."""
    FAILED = "failed"
    """The request ran, at least in part, and ended in an error."""


class ErrorCode(StrEnum):
    """Error codes for callers and operators; ``docs/errors.md`` says how to handle each."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_CLASS = "unknown_class"
    IDEMPOTENCY_KEY_MISSING = "idempotency_key_missing"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    IN_PROGRESS = "in_progress"
    RATE_LIMITED = "rate_limited"
    CONCURRENCY_LIMITED = "concurrency_limited"
    SHED = "shed"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_ENDPOINT = "no_endpoint"
    NO_CONFIGURATION = "no_configuration"
    LEAVING = "leaving"
    ENDPOINT_FAILED = "endpoint_failed"
    ANSWER_INVALID = "answer_invalid"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    PLAN_INVALID = "plan_invalid"
    PLAN_CONFLICT = "plan_conflict"
    CONFIGURATION_INVALID = "configuration_invalid"
    USAGE = "usage"
    UNREACHABLE = "unreachable"
    INTERNAL = "internal"


class GuavamastError(Exception):
    """Base of all errors that guavamast raises on purpose.

    Args:
        code: The kind of error.
        message: One human-readable sentence.
    """

    def __init__(self, code: ErrorCode, message: str) -> None:
        super().__init__(f"{code} {message}")
        self.code = code
        self.message = message


class Refusal(GuavamastError):
    """The final response to a request that gets no result.

    Only `SendLatch.refuse` creates one with ``Outcome.NOT_RUN``, so a request of which a byte may
    have left this process is never reported as not run.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        *,
        status: int,
        outcome: Outcome,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(code, message)
        self.status = status
        self.outcome = outcome
        self.retry_after_s = retry_after_s


class SendLatch:
    """Records whether any byte of one request may have reached an endpoint.

    Without it, a rejection could say ``not_run`` although the call was sent, and the caller would
    retry it. The latch is set before the first byte is sent and is never reset, so a crash or an
    error between the two yields ``outcome_unknown``.
    """

    __slots__ = ("_sent",)

    def __init__(self) -> None:
        self._sent = False

    @property
    def sent(self) -> bool:
        """Whether a send has started."""
        return self._sent

    def mark_sent(self) -> None:
        """Set the latch; call right before the first byte is written to the connection."""
        self._sent = True

    def reject(
        self,
        code: ErrorCode,
        message: str,
        *,
        status: int,
        retry_after_s: float | None = None,
    ) -> Refusal:
        """Create the rejection with the outcome that this latch proves.

        Args:
            code: The kind of error.
            message: One human-readable sentence.
            status: HTTP status.
            retry_after_s: Seconds after which a retry may succeed.

        Returns:
            A rejection as ``not_run`` when nothing was sent, else as ``outcome_unknown``.
        """
        outcome = Outcome.OUTCOME_UNKNOWN if self._sent else Outcome.NOT_RUN
        return Refusal(code, message, status=status, outcome=outcome, retry_after_s=retry_after_s)
