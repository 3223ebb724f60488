"""Which faults strike when, drawn from a seed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Final

QUIET_START_S: Final = 1.0
"""Nothing strikes before callers have been served for a while."""
RECOVERY_S: Final = 4.0
"""Nothing strikes in this last part of a run, in which all has to be served again: instances start
in under a second, and what they know of a store that was away is read within another two."""
SHORTEST_S: Final = 0.3
LONGEST_S: Final = 3.0
"""Times that faults last: below and above each timeout of the relay."""
FAULTS_PER_S: Final = 1.2
"""Faults that begin in a second on average, so that they come in series and overlap."""
FREEZE_S: Final = 6.0
"""Longest stop of a process: beyond the time after which revoked keys must not work."""


class FaultKind(StrEnum):
    """What a fault does, and to what."""

    INSTANCE_KILL = "instance_kill"
    """SIGKILL, and a start after the fault's time."""
    INSTANCE_FREEZE = "instance_freeze"
    """SIGSTOP, and SIGCONT after the fault's time."""
    INSTANCE_TERM = "instance_term"
    """SIGTERM, and a start after the process has ended."""
    INSTANCE_HUP = "instance_hup"
    INSTANCE_SKEW = "instance_skew"
    """SIGKILL, and a start with a time of day that is ahead or behind."""
    KILL_ALL = "kill_all"
    """SIGKILL of all instances at once."""
    ENGINE_LINK = "engine_link"
    """A fault of the link to an engine."""
    ENGINE_RESET = "engine_reset"
    """All open connections to an engine are reset."""
    ENGINE_ANSWERS = "engine_answers"
    """An engine answers wrongly or not at all."""
    ENGINE_CRASH = "engine_crash"
    """An engine ends; another with its id starts at the same address after the fault's time."""
    ENGINE_REUSE = "engine_reuse"
    """An engine ends for good; one of another service gets its address."""
    ENGINE_DRAIN = "engine_drain"
    """An engine says that it leaves, and is back after the fault's time."""
    STORE_LINK = "store_link"
    """A fault of one instance's link to the store."""
    STORE_ANSWERS = "store_answers"
    """The store refuses, falls silent or loses answers, for all."""
    CONFIG_CHANGE = "config_change"
    REVOKE = "revoke"
    """A key is taken away."""

    @property
    def strikes_instances(self) -> bool:
        """Whether it disturbs instances themselves, and nothing that they learn from."""
        return self is FaultKind.KILL_ALL or self.value.startswith("instance_")

    @property
    def planned(self) -> bool:
        """Whether this is work during which no request may be lost."""
        return self in (
            FaultKind.INSTANCE_TERM,
            FaultKind.INSTANCE_HUP,
            FaultKind.ENGINE_DRAIN,
            FaultKind.CONFIG_CHANGE,
            FaultKind.REVOKE,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """One fault of a run."""

    at_s: float
    """Seconds from the start of the callers."""
    kind: FaultKind
    for_s: float
    pick: float
    """0 to 1: which of the things that the fault may strike."""
    variant: float
    """0 to 1: which of the fault's forms."""

    def choose(self, things: list[str]) -> str:
        """Return the thing that the fault strikes."""
        return things[int(self.pick * len(things)) % len(things)]


def plan_faults(seed: int, *, length_s: float) -> list[Fault]:
    """Return the faults of a run in the order of their times.

    Args:
        seed: The same seed gives the same faults.
        length_s: Length of the run, its recovery included.
    """
    random = Random(seed)
    kinds = list(FaultKind)
    end_s = length_s - RECOVERY_S
    faults = []
    at_s = QUIET_START_S
    while at_s < end_s:
        kind = random.choice(kinds)
        longest_s = FREEZE_S if kind is FaultKind.INSTANCE_FREEZE else LONGEST_S
        for_s = min(random.uniform(SHORTEST_S, longest_s), max(SHORTEST_S, end_s - at_s))
        fault = Fault(
            at_s=at_s, kind=kind, for_s=for_s, pick=random.random(), variant=random.random()
        )
        faults.append(fault)
        at_s += random.expovariate(FAULTS_PER_S)
    return faults
