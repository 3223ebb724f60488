"""Group commit: small transactions are merged, so that a call costs less than one write."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any, Final

from guavamast.platform_client import PlatformAnswerLost, PlatformClient, TransactionConflict

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from guavamast.clocks import Clock
    from guavamast.platform_client import Check, ListedInstance, Row, Write

WINDOW_S: Final = 0.005
"""Time for which the first transaction of a group waits for others on a busy node."""

BUSY_GAP_S: Final = 0.02
"""Mean time between transactions up to which a node is busy: others often arrive in the window."""

LONGEST_GAP_S: Final = 1.0
"""Cap on a gap in the mean, so that a burst after an idle time is noticed while it lasts."""

GAP_WEIGHT: Final = 0.2
"""Weight of the latest gap in the moving average."""

GROUP_LIMIT: Final = 64
"""Maximum transactions in one group, which bounds the size of a request."""

IN_FLIGHT_LIMIT: Final = 4
"""Maximum groups in flight; later groups grow while the platform is slow."""


class ArrivalRate:
    """Tells whether transactions arrive fast enough for a window to collect several.

    A fixed window would delay each write of a quiet node without merging any.
    """

    __slots__ = ("_last", "_mean_gap_s")

    def __init__(self) -> None:
        self._last: float | None = None
        self._mean_gap_s = LONGEST_GAP_S

    def record(self, *, now: float) -> None:
        """Record the arrival of a transaction."""
        if self._last is not None:
            gap_s = min(LONGEST_GAP_S, max(0.0, now - self._last))
            self._mean_gap_s += GAP_WEIGHT * (gap_s - self._mean_gap_s)
        self._last = now

    @property
    def is_busy(self) -> bool:
        """Whether to wait for further transactions."""
        return self._mean_gap_s <= BUSY_GAP_S


class _Submission:
    """One caller's transaction and the future of its result."""

    __slots__ = ("checks", "keys", "result", "writes")

    def __init__(self, checks: list[Check], writes: list[Write]) -> None:
        self.checks = checks
        self.writes = writes
        self.keys = frozenset((item.table, item.key) for item in [*checks, *writes])
        self.result: asyncio.Future[list[int]] = asyncio.get_running_loop().create_future()


class GroupCommit(PlatformClient):
    """Wraps a client and merges transactions into groups.

    On a node with few transactions each one is sent at once; see `ArrivalRate`.

    A group that conflicts is split in halves until the conflicting transactions are alone, so one
    caller's conflict never fails another's transaction. A lost response is lost for the whole
    group, and each caller determines the state of its own rows by reading them.

    Args:
        client: The wrapped client.
        clock: Waits for the window.
        window_s: Time in seconds during which a group collects transactions.
    """

    __slots__ = (
        "_arrivals",
        "_client",
        "_clock",
        "_flush_scheduled",
        "_in_flight",
        "_pending",
        "_tasks",
        "_window_s",
    )

    def __init__(self, *, client: PlatformClient, clock: Clock, window_s: float = WINDOW_S) -> None:
        self._client = client
        self._clock = clock
        self._window_s = window_s
        self._pending: deque[_Submission] = deque()
        self._arrivals = ArrivalRate()
        self._flush_scheduled = False
        self._in_flight = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def transact(self, checks: list[Check], writes: list[Write]) -> list[int]:
        """Write all rows if all checks hold, together with other callers' transactions."""
        submission = _Submission(checks, writes)
        self._pending.append(submission)
        self._arrivals.record(now=self._clock.read_monotonic())
        self._schedule_flush()
        return await submission.result

    async def read(self, table: str, key: str) -> Row:
        """Return a row."""
        return await self._client.read(table, key)

    async def scan(self, table: str, prefix: str) -> list[Row]:
        """Return all rows of a table whose key starts with ``prefix``."""
        return await self._client.scan(table, prefix)

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object."""
        await self._client.put_object(name, body)

    async def get_object(self, name: str) -> bytes | None:
        """Return an object, or None when it is absent."""
        return await self._client.get_object(name)

    async def list_instances(self) -> list[ListedInstance]:
        """Return the platform's list of instances."""
        return await self._client.list_instances()

    def _schedule_flush(self) -> None:
        if self._flush_scheduled or not self._pending or self._in_flight >= IN_FLIGHT_LIMIT:
            return
        self._flush_scheduled = True
        self._start(self._flush_after_window())

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _flush_after_window(self) -> None:
        if self._arrivals.is_busy:
            await self._clock.sleep(self._window_s)
        self._flush_scheduled = False
        group = pop_group(self._pending)
        self._in_flight += 1
        self._schedule_flush()
        await self._commit(group)
        self._in_flight -= 1
        self._schedule_flush()

    async def _commit(self, group: list[_Submission]) -> None:
        try:
            versions = await self._client.transact(
                [check for submission in group for check in submission.checks],
                [write for submission in group for write in submission.writes],
            )
        except TransactionConflict as error:
            await self._split(group, error)
        except Exception as error:
            _fail(group, error)
        except BaseException:
            _fail(group, PlatformAnswerLost("interrupted"))
            raise
        else:
            _succeed(group, versions)

    async def _split(self, group: list[_Submission], error: TransactionConflict) -> None:
        if len(group) == 1:
            _fail(group, error)
            return
        middle = len(group) // 2
        await asyncio.gather(self._commit(group[:middle]), self._commit(group[middle:]))


def pop_group(pending: deque[_Submission]) -> list[_Submission]:
    """Remove and return the next group: leading transactions that share no row.

    Failure: two callers insert the same key at the same moment. In one merged transaction both
    checks for an absent row hold, both callers succeed, and the call runs twice. So a group ends
    before a transaction that touches a row of the group.
    """
    group: list[_Submission] = []
    keys: set[tuple[str, str]] = set()
    while pending and len(group) < GROUP_LIMIT and keys.isdisjoint(pending[0].keys):
        submission = pending.popleft()
        keys |= submission.keys
        group.append(submission)
    return group


def _fail(group: list[_Submission], error: Exception) -> None:
    for submission in group:
        if not submission.result.done():
            submission.result.set_exception(error)


def _succeed(group: list[_Submission], versions: list[int]) -> None:
    start = 0
    for submission in group:
        end = start + len(submission.writes)
        if not submission.result.done():
            submission.result.set_result(versions[start:end])
        start = end
