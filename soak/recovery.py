"""The end of a run, which is put off until instances that faults have killed run again."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

from soak.guarantees import Span
from soak.schedule import RECOVERY_S

if TYPE_CHECKING:
    from collections.abc import Sequence

    from soak.instances import Instance

CHECK_INTERVAL_S: Final = 0.05
LONGEST_START_S: Final = 20.0
"""Seconds after the planned end of all faults in which killed instances must have started."""


class RecoveryWatch:
    """Moves the recovery to the time at which the last instance that was killed has started.

    On a busy machine a process takes seconds to start, and a scheduler that has just started grants
    no memory of engines whose work it doesn't know. The recovery is as long as it was planned.

    Args:
        instances: The instances.
    """

    def __init__(self, *, instances: Sequence[Instance]) -> None:
        self._instances = instances
        self.ended_at = 0.0
        """Monotonic time at which the run ends, as far as known."""
        self.starts: list[Span] = []
        """For each start that was seen, the span from the last look before it to the next one."""
        self.violations: list[str] = []

    async def run(self, kills: Sequence[asyncio.Task[None]]) -> None:
        """Watch starts from the planned end of the faults on; put ``ended_at`` off meanwhile.

        Args:
            kills: The faults that kill instances.
        """
        planned_at = self.ended_at - RECOVERY_S
        await asyncio.sleep(max(0.0, planned_at - time.monotonic()))
        missing: set[str] = set()
        looked_at = time.monotonic()
        while True:
            former, former_at = missing, looked_at
            looked_at = time.monotonic()
            missing = {
                one.name for one in self._instances if one.was_killed and not one.has_started()
            }
            seen = Span(started_at=former_at, ended_at=looked_at)
            self.starts += [seen for _ in former - missing]
            pending = missing or any(not kill.done() for kill in kills)
            if pending or former:
                self.ended_at = max(self.ended_at, looked_at + RECOVERY_S)
            if not pending:
                return
            if looked_at > planned_at + LONGEST_START_S:
                self.violations += [f"{name} has not started after a kill" for name in missing]
                return
            await asyncio.sleep(CHECK_INTERVAL_S)
