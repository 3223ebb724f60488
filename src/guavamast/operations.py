"""Non-idempotent calls as rows of the platform's table, and the decisions on them.

One row represents one key of one organisation. It is inserted as ``started`` before the call is
sent, and only the attempt with its nonce may change it after that, so a key runs at most once.
"""

from __future__ import annotations

import base64
import hashlib
import re
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any, Final
from urllib.parse import quote

from guavamast.errors import ErrorCode, GuavamastError

OPERATIONS_TABLE: Final = "operations"

KEY_PATTERN: Final = re.compile(r"[\x21-\x7e]{1,200}")
"""Keys are printable ASCII without spaces, as they travel in a header and a path."""

PREFIX_DIGITS: Final = 4
"""Hex digits before each row's key, so that a scan for old rows reads a 65,536th of the table."""

MIN_SWEEP_INTERVAL_S: Final = 1.0
"""Minimum time between two scans of the fleet; a short retention scans larger ranges of keys."""

DUE_MARGIN_S: Final = 5.0
"""Added to a call's deadline before its row counts as abandoned; covers clock differences."""


class OperationState(StrEnum):
    """Known progress of a non-idempotent call."""

    STARTED = "started"
    """It may run, may have run, or its holder died; only the holder may go on."""
    DONE = "done"
    """It ran once and its response is recorded."""
    NOT_RUN = "not_run"
    """Its holder proved that no byte was sent; the key may be used again."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OperationKey:
    """An organisation's key for one non-idempotent call."""

    organisation: str
    key: str

    @property
    def row_key(self) -> str:
        """Key of the row: a hash prefix that distributes rows, the organisation and the key."""
        name = f"{quote(self.organisation, safe='')}/{self.key}"
        prefix = hashlib.sha256(name.encode()).hexdigest()[:PREFIX_DIGITS]
        return f"{prefix}/{name}"


def check_key(key: str) -> None:
    """Raise an error with ``bad_request`` for an invalid key."""
    if not KEY_PATTERN.fullmatch(key):
        raise GuavamastError(
            ErrorCode.BAD_REQUEST, "Idempotency-Key must be 1 to 200 printable ASCII characters"
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """A whole response of an endpoint."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordedResponse:
    """A response as stored in a row: its body in the row, or the name of an object."""

    status: int
    content_type: str
    digest: str
    """SHA-256 of the body, so that a wrong or truncated object is never served."""
    body: bytes | None
    object_name: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Operation:
    """One row of the operations table."""

    key: OperationKey
    nonce: str
    """Chosen by the attempt that inserted the row; identifies its only holder."""
    request_digest: str
    state: OperationState
    started_at: float
    """Wall time of the insert."""
    due_at: float
    """Wall time by which a working holder has finished."""
    ended_at: float = 0.0
    """Wall time of ``done`` or ``not_run``."""
    response: RecordedResponse | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Insert:
    """The row may be written if it still has this version."""

    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Held:
    """The row is this attempt's own."""

    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Recorded:
    """The key ran before; its recorded response is served."""

    response: RecordedResponse


@dataclass(frozen=True, slots=True, kw_only=True)
class Running:
    """Another attempt holds the key and may still finish."""

    retry_after_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Abandoned:
    """Another attempt holds the key and should have finished; it may have run."""


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyReused:
    """The key was used for another request."""


ClaimDecision = Insert | Held | Recorded | Running | Abandoned | KeyReused


def decide_claim(
    wanted: Operation, found: Operation | None, *, version: int, now: float
) -> ClaimDecision:
    """Decide what an attempt may do with the row it has read.

    Args:
        wanted: The attempt's own row, as ``started``.
        found: The stored row, or None when it is absent.
        version: The version of the row that was read; 0 when it is absent.
        now: Wall time.

    Returns:
        The decision. A ``started`` row of another nonce is never taken over, whatever its age: its
        holder may only be paused, and the call would run twice.
    """
    if found is None:
        return Insert(version=0)
    if found.request_digest != wanted.request_digest:
        return KeyReused()
    if found.state is OperationState.DONE and found.response is not None:
        return Recorded(response=found.response)
    if found.state is OperationState.NOT_RUN:
        return Insert(version=version)
    if found.nonce == wanted.nonce:
        return Held(version=version)
    if now < found.due_at:
        return Running(retry_after_s=min(1.0, found.due_at - now))
    return Abandoned()


def finish(operation: Operation, response: RecordedResponse, *, now: float) -> Operation:
    """Return the row of a call that ran, with its response."""
    return replace(operation, state=OperationState.DONE, ended_at=now, response=response)


def mark_not_run(operation: Operation, *, now: float) -> Operation:
    """Return the row of a call of which no byte was or will be sent."""
    return replace(operation, state=OperationState.NOT_RUN, ended_at=now)


def is_started_by(operation: Operation, nonce: str) -> bool:
    """Return whether a row is ``started`` and has that nonce."""
    return operation.state is OperationState.STARTED and operation.nonce == nonce


def needs_not_run_mark(found: Operation | None, nonce: str) -> bool:
    """Return whether a rejected attempt's write of its row could still block the key.

    Args:
        found: The stored row, or None when it is absent.
        nonce: The attempt's nonce.
    """
    if found is None or is_started_by(found, nonce):
        return True
    return found.state is OperationState.NOT_RUN and found.nonce != nonce


def is_expired(operation: Operation, *, retention_s: float, now: float) -> bool:
    """Return whether a row may be deleted.

    A ``started`` row never expires: deleting it would allow a second run of a call whose first
    outcome is unknown. Such rows are as rare as crashes, and operators resolve them.
    """
    if operation.state is OperationState.STARTED:
        return False
    return now >= operation.ended_at + retention_s


def compute_request_digest(service: str, call: str, body: bytes) -> str:
    """Return the digest that distinguishes requests of the same key."""
    digest = hashlib.sha256()
    for part in (service.encode(), call.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def compute_body_digest(body: bytes) -> str:
    """Return the digest of a response's body."""
    return hashlib.sha256(body).hexdigest()


def compute_sweep_interval(retention_s: float) -> float:
    """Return the seconds between two scans for old rows."""
    return retention_s / 16 ** _count_sweep_digits(retention_s)


def select_sweep_prefix(*, retention_s: float, now: float) -> str:
    """Return the prefix of the row keys whose old rows are to be deleted now.

    All instances derive it from their wall clocks; each prefix of the table is swept once per
    retention period.
    """
    digits = _count_sweep_digits(retention_s)
    number = int(now / compute_sweep_interval(retention_s)) % 16**digits
    return f"{number:0{digits}x}" if digits else ""


def _count_sweep_digits(retention_s: float) -> int:
    digits = PREFIX_DIGITS
    while digits and retention_s / 16**digits < MIN_SWEEP_INTERVAL_S:
        digits -= 1
    return digits


def encode_operation(operation: Operation) -> dict[str, Any]:
    """Return a row's value as stored in the table."""
    response = operation.response
    return {
        "organisation": operation.key.organisation,
        "key": operation.key.key,
        "nonce": operation.nonce,
        "request": operation.request_digest,
        "state": operation.state.value,
        "started_at": operation.started_at,
        "due_at": operation.due_at,
        "ended_at": operation.ended_at,
        "answer": None if response is None else _encode_response(response),
    }


def decode_operation(value: dict[str, Any]) -> Operation:
    """Return the row of a value stored in the table."""
    response = value["answer"]
    return Operation(
        key=OperationKey(organisation=value["organisation"], key=value["key"]),
        nonce=value["nonce"],
        request_digest=value["request"],
        state=OperationState(value["state"]),
        started_at=value["started_at"],
        due_at=value["due_at"],
        ended_at=value["ended_at"],
        response=None if response is None else _decode_response(response),
    )


def _encode_response(response: RecordedResponse) -> dict[str, Any]:
    body = None if response.body is None else base64.b64encode(response.body).decode()
    return {
        "status": response.status,
        "content_type": response.content_type,
        "digest": response.digest,
        "body": body,
        "object": response.object_name,
    }


def _decode_response(value: dict[str, Any]) -> RecordedResponse:
    body = value["body"]
    return RecordedResponse(
        status=value["status"],
        content_type=value["content_type"],
        digest=value["digest"],
        body=None if body is None else base64.b64decode(body),
        object_name=value["object"],
    )
