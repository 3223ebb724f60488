"""Rows of non-idempotent calls on the platform, with recovery from lost platform responses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.errors import ErrorCode, GuavamastError
from guavamast.operations import (
    OPERATIONS_TABLE,
    Held,
    Insert,
    Operation,
    OperationKey,
    RecordedResponse,
    Response,
    compute_body_digest,
    decide_claim,
    decode_operation,
    encode_operation,
    finish,
    is_expired,
    is_started_by,
    mark_not_run,
    needs_not_run_mark,
)
from guavamast.platform_client import (
    Check,
    PlatformAnswerLost,
    PlatformUnavailable,
    Row,
    TransactionConflict,
    Write,
)

if TYPE_CHECKING:
    from guavamast.clocks import Clock
    from guavamast.errors import SendLatch
    from guavamast.operations import Abandoned, ClaimDecision, KeyReused, Recorded, Running
    from guavamast.platform_client import PlatformClient

INLINE_LIMIT_BYTES: Final = 4096
"""Responses up to this size are stored in the row; larger ones are objects."""

CLAIM_ATTEMPTS: Final = 4
"""Writes of one claim before it is rejected; each follows a lost response or a changed row."""

DELETE_BATCH_ROWS: Final = 50
"""Rows deleted in one transaction."""


class ClaimUnsettled(PlatformUnavailable):
    """The row may have this attempt's nonce, now or later; mark it as not run."""


class AnswerMissing(GuavamastError):
    """A recorded response's object is absent or differs from the recorded one."""

    def __init__(self) -> None:
        super().__init__(ErrorCode.ANSWER_INVALID, "the recorded response can't be read")


@dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """Proof that this attempt holds the key: its row and the row's version."""

    operation: Operation
    version: int


class OperationStore:
    """Reads and writes the rows of non-idempotent calls.

    Args:
        client: The platform; a `GroupCommit` reduces the number of writes.
        clock: Source of the wall time stored in rows.
        inline_limit: Size in bytes of the largest response that is stored in the row.
    """

    __slots__ = ("_client", "_clock", "_inline_limit")

    def __init__(
        self, *, client: PlatformClient, clock: Clock, inline_limit: int = INLINE_LIMIT_BYTES
    ) -> None:
        self._client = client
        self._clock = clock
        self._inline_limit = inline_limit

    async def find(self, key: OperationKey) -> Operation | None:
        """Return a key's row, or None when it is absent.

        Raises:
            PlatformUnavailable: It can't be read.
        """
        return _decode(await self._client.read(OPERATIONS_TABLE, key.row_key))

    async def claim(self, wanted: Operation) -> Claim | Recorded | Running | Abandoned | KeyReused:
        """Insert an attempt's row if the key is free.

        Failure: the platform writes the row and its response is lost. Treated as a failure, it
        would block the key although the call can run; treated as a success, it would let two
        attempts send. So the row is read again: only a row with this attempt's nonce is its own. A
        row that is absent after a lost response may still be written late, so it is written again
        with the same nonce, and whichever write takes effect is this attempt's.

        Args:
            wanted: The attempt's row, as ``started``, with a new nonce.

        Returns:
            The claim, or why the key can't be claimed.

        Raises:
            PlatformUnavailable: Nothing was and nothing will be written.
            ClaimUnsettled: The row may have the nonce; call `mark_not_run`.
        """
        maybe_written = False
        version = 0
        try:
            for _ in range(CLAIM_ATTEMPTS):
                try:
                    version = await self._write(wanted, version)
                    return Claim(operation=wanted, version=version)
                except TransactionConflict:
                    pass
                except PlatformAnswerLost:
                    maybe_written = True
                decision = await self._decide(wanted)
                if isinstance(decision, Held):
                    return Claim(operation=wanted, version=decision.version)
                if not isinstance(decision, Insert):
                    return decision
                version = decision.version
        except PlatformUnavailable as error:
            if maybe_written:
                raise ClaimUnsettled(error.message) from error
            raise
        raise ClaimUnsettled("the state of the row could not be determined")

    async def mark_not_run(self, wanted: Operation, latch: SendLatch) -> None:
        """Free the key of a finished attempt of which no byte was sent.

        A row with the attempt's nonce becomes ``not_run``. Where a lost write of the claim may
        still take effect (the row is absent, or is the ``not_run`` row that the claim would have
        replaced), ``not_run`` is written as well, so that the late write conflicts by its version.

        Args:
            wanted: The attempt's row, claimed or not.
            latch: The attempt's latch, which proves that no byte was sent.

        Raises:
            ValueError: A byte may have been sent.
            PlatformUnavailable: Retry later.
            PlatformAnswerLost: Retry; the write is idempotent.
        """
        if latch.sent:
            raise ValueError("a call that may have been sent can't be marked as not run")
        row = await self._client.read(OPERATIONS_TABLE, wanted.key.row_key)
        if not needs_not_run_mark(_decode(row), wanted.nonce):
            return
        try:
            await self._write(mark_not_run(wanted, now=self._clock.read_wall()), row.version)
        except TransactionConflict as error:
            raise PlatformUnavailable("the row was changed concurrently") from error

    async def record(self, claim: Claim, response: Response) -> None:
        """Record the response of a call that ran; idempotent.

        Args:
            claim: The claim of the attempt that sent the call.
            response: The endpoint's whole response.

        Raises:
            PlatformUnavailable: Retry later.
            PlatformAnswerLost: Retry.
        """
        recorded = await self._store_body(claim, response)
        done = finish(claim.operation, recorded, now=self._clock.read_wall())
        try:
            await self._write(done, claim.version)
        except TransactionConflict:
            row = await self._client.read(OPERATIONS_TABLE, claim.operation.key.row_key)
            found = _decode(row)
            if found is not None and is_started_by(found, claim.operation.nonce):
                raise PlatformUnavailable("the row has another version") from None

    async def load_response(self, recorded: RecordedResponse) -> Response:
        """Return a recorded response with its body.

        Raises:
            PlatformUnavailable: The object can't be read now.
            AnswerMissing: The object is absent, truncated or a different one.
        """
        body = recorded.body
        if body is None:
            body = await self._client.get_object(recorded.object_name)
        if body is None or compute_body_digest(body) != recorded.digest:
            raise AnswerMissing
        return Response(status=recorded.status, content_type=recorded.content_type, body=body)

    async def delete_expired(self, prefix: str, *, retention_s: float) -> int:
        """Delete the expired rows of one prefix.

        Args:
            prefix: Prefix of their keys, from `operations.find_due_prefix`.
            retention_s: Age at which a finished row expires.

        Returns:
            The number of expired rows.
        """
        now = self._clock.read_wall()
        rows = await self._client.scan(OPERATIONS_TABLE, prefix)
        expired = [row for row in rows if _is_row_expired(row, retention_s=retention_s, now=now)]
        for start in range(0, len(expired), DELETE_BATCH_ROWS):
            await self._delete(expired[start : start + DELETE_BATCH_ROWS])
        return len(expired)

    async def _delete(self, rows: list[Row]) -> None:
        """Delete rows; if one was changed concurrently, all stay until the next sweep."""
        try:
            await self._client.transact(
                [Check(table=row.table, key=row.key, version=row.version) for row in rows],
                [Write(table=row.table, key=row.key, value=None) for row in rows],
            )
        except (TransactionConflict, PlatformAnswerLost):
            return

    async def _decide(self, wanted: Operation) -> ClaimDecision:
        row = await self._client.read(OPERATIONS_TABLE, wanted.key.row_key)
        return decide_claim(wanted, _decode(row), version=row.version, now=self._clock.read_wall())

    async def _write(self, operation: Operation, version: int) -> int:
        row_key = operation.key.row_key
        versions = await self._client.transact(
            [Check(table=OPERATIONS_TABLE, key=row_key, version=version)],
            [Write(table=OPERATIONS_TABLE, key=row_key, value=encode_operation(operation))],
        )
        return versions[0]

    async def _store_body(self, claim: Claim, response: Response) -> RecordedResponse:
        """Store a large body as an object before the row names it."""
        inline = len(response.body) <= self._inline_limit
        name = "" if inline else f"operations-{claim.operation.nonce}"
        if not inline:
            await self._client.put_object(name, response.body)
        return RecordedResponse(
            status=response.status,
            content_type=response.content_type,
            digest=compute_body_digest(response.body),
            body=response.body if inline else None,
            object_name=name,
        )


def _decode(row: Row) -> Operation | None:
    return None if row.value is None else decode_operation(row.value)


def _is_row_expired(row: Row, *, retention_s: float, now: float) -> bool:
    operation = _decode(row)
    return operation is not None and is_expired(operation, retention_s=retention_s, now=now)
