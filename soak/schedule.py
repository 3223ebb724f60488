"""Fault schedule of a soak run, generated from a seed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Final

QUIET_START_S: Final = 1.0
"""Time without faults at the start, in which callers are served."""
RECOVERY_S: Final = 4.0
"""Time without faults at the end, in which all requests must be served again: instances start in
under a second, and read the state of a store that was unreachable within another two."""
SHORTEST_FAULT_S: Final = 0.3
LONGEST_FAULT_S: Final = 3.0
"""Range of fault durations: from below to above each timeout of the relay."""
FAULTS_PER_S: Final = 1.2
"""Mean number of faults that begin per second, so that faults follow closely and overlap."""
SHORTEST_PARTITION_S: Final = 1.0
LONGEST_PARTITION_S: Final = 7.0
"""Range of durations of a partition: to well above the time after which callers must be served."""
ANSWER_FAULTS_PER_S: Final = 0.4
"""Mean number per second of framings, and as many endings, of engines' answers that begin."""
SHORTEST_RELEASE_GAP_S: Final = 0.2
LONGEST_RELEASE_GAP_S: Final = 0.8
"""Range of the time between two engines of one release."""
RELEASED_ENGINES: Final = 3
"""Engines that one release replaces."""
RELEASE_DRAIN_S: Final = 2.6
"""Time for which an engine serves on after it was listed as leaving: longer than the bound on new
requests there and a response."""
LONGEST_RELEASE_S: Final = RELEASED_ENGINES * LONGEST_RELEASE_GAP_S + RELEASE_DRAIN_S
RELEASES_PER_S: Final = 0.15
"""Mean number of releases that begin per second, so that they follow closely and overlap."""
DUTY_FAULTS_PER_S: Final = 0.15
"""Mean number per second of faults of the provider, and as many of the holder of the duties."""
SHORTEST_ROLL_GAP_S: Final = 0.2
LONGEST_ROLL_GAP_S: Final = 0.8
"""Range of the time between the stops of two instances of one roll."""
SHORTEST_ROLLS_S: Final = 1.5
"""Time in which rolls begin at least, however short a run is."""
RESTART_S: Final = 3.0
"""Time in which an instance starts on a busy machine."""
ROLLS_PER_S: Final = 0.2
"""Mean number of rolls that begin per second, so that they overlap."""
LONGEST_FREEZE_S: Final = 6.0
"""Longest freeze of a process: longer than the time after which revoked keys must be rejected."""


class FaultKind(StrEnum):
    """Kind of a fault: its effect and its target."""

    INSTANCE_KILL = "instance_kill"
    """SIGKILL, and a restart after the fault's duration."""
    INSTANCE_FREEZE = "instance_freeze"
    """SIGSTOP, and SIGCONT after the fault's duration."""
    INSTANCE_TERM = "instance_term"
    """SIGTERM, and a restart after the process has exited."""
    INSTANCE_HUP = "instance_hup"
    INSTANCE_ROLL = "instance_roll"
    """Some instances get SIGTERM, one after the other, and SIGHUP as they leave; each is restarted
    after its process has exited. The duration is the time between two of them."""
    INSTANCE_SKEW = "instance_skew"
    """SIGKILL, and a restart with a wall clock that is ahead or behind."""
    KILL_ALL = "kill_all"
    """SIGKILL of all instances at once."""
    ENGINE_LINK = "engine_link"
    """The link to an engine delays or drops traffic."""
    ENGINE_RESET = "engine_reset"
    """All open connections to an engine are reset."""
    ENGINE_ANSWERS = "engine_answers"
    """An engine sends faulty responses or none."""
    ENGINE_CRASH = "engine_crash"
    """An engine crashes; one with the same id and address starts after the fault's duration."""
    ENGINE_REUSE = "engine_reuse"
    """An engine crashes for good; an engine of another service gets its address."""
    ENGINE_DRAIN = "engine_drain"
    """An engine is listed as draining, and as ready after the fault's duration."""
    STORE_LINK = "store_link"
    """One instance's link to the store delays or drops traffic."""
    STORE_ANSWERS = "store_answers"
    """The store rejects requests, stops responding or loses responses, for all instances."""
    CONFIG_CHANGE = "config_change"
    REVOKE = "revoke"
    """The key of an organisation is revoked."""

    PARTITION = "partition"
    """Some or all instances reach no engine, or none of one service."""
    ANSWER_FRAMING = "answer_framing"
    """All engines of a service frame their answers in one way: a length, chunks or neither."""
    ANSWER_ENDING = "answer_ending"
    """An engine breaks off its answers in one way."""
    RELEASE = "release"
    """Some engines are replaced, one after the other, by others of another software version; the
    duration is the time between two of them."""
    PROVIDER_CALLS = "provider_calls"
    """The provider of engines is slow or silent, rejects calls, or carries them out late."""
    INSTANCE_HOLDER = "instance_holder"
    """The instance that made the last call to the provider is killed or frozen."""

    @property
    def affects_instances(self) -> bool:
        """Whether it disrupts only instances, and no source of their state."""
        return self is FaultKind.KILL_ALL or self.value.startswith("instance_")

    @property
    def kills(self) -> bool:
        """Whether it may kill instances, which are started again."""
        return self in (
            FaultKind.INSTANCE_KILL,
            FaultKind.INSTANCE_SKEW,
            FaultKind.INSTANCE_HOLDER,
            FaultKind.KILL_ALL,
        )

    @property
    def planned(self) -> bool:
        """Whether no request may fail meanwhile, as during planned work."""
        return self in (
            FaultKind.INSTANCE_TERM,
            FaultKind.INSTANCE_HUP,
            FaultKind.INSTANCE_ROLL,
            FaultKind.ENGINE_DRAIN,
            FaultKind.CONFIG_CHANGE,
            FaultKind.REVOKE,
            FaultKind.ANSWER_FRAMING,
            FaultKind.RELEASE,
            FaultKind.PROVIDER_CALLS,
        )


SEPARATE_KINDS: Final = (
    FaultKind.PARTITION,
    FaultKind.ANSWER_FRAMING,
    FaultKind.ANSWER_ENDING,
    FaultKind.RELEASE,
    FaultKind.PROVIDER_CALLS,
    FaultKind.INSTANCE_HOLDER,
    FaultKind.INSTANCE_ROLL,
)
"""Kinds that are planned by themselves, beside the others of a seed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """One fault of a run."""

    start_s: float
    """Start of the fault in seconds after the start of the callers."""
    kind: FaultKind
    duration_s: float
    target: float
    """0 to 1: position of the target among the candidates."""
    variant: float
    """0 to 1: position of the variant among those of the kind."""

    def choose_target(self, candidates: list[str]) -> str:
        """Return the candidate that the fault affects."""
        return candidates[int(self.target * len(candidates)) % len(candidates)]


def plan_faults(seed: int, *, length_s: float) -> list[Fault]:
    """Return the faults of a run, ordered by start.

    Args:
        seed: Seed of the generator; the same seed gives the same faults.
        length_s: Length of the run, including its recovery.
    """
    random = Random(seed)
    kinds = [kind for kind in FaultKind if kind not in SEPARATE_KINDS]
    end_s = length_s - RECOVERY_S
    faults = []
    at_s = QUIET_START_S
    while at_s < end_s:
        kind = random.choice(kinds)
        longest_s = LONGEST_FREEZE_S if kind is FaultKind.INSTANCE_FREEZE else LONGEST_FAULT_S
        for_s = min(
            random.uniform(SHORTEST_FAULT_S, longest_s), max(SHORTEST_FAULT_S, end_s - at_s)
        )
        fault = Fault(
            start_s=at_s,
            kind=kind,
            duration_s=for_s,
            target=random.random(),
            variant=random.random(),
        )
        faults.append(fault)
        at_s += random.expovariate(FAULTS_PER_S)
    return faults


def plan_partitions(seed: int, *, length_s: float) -> list[Fault]:
    """Return the partitions of a run, which come beside its other faults.

    Args:
        seed: Seed of the generator.
        length_s: Length of the run, including its recovery.
    """
    random = Random(f"{seed}partition")
    end_s = length_s - RECOVERY_S
    duration_s = min(random.uniform(SHORTEST_PARTITION_S, LONGEST_PARTITION_S), end_s)
    return [_place_fault(random, FaultKind.PARTITION, duration_s=duration_s, end_s=end_s)]


def plan_answers(seed: int, *, length_s: float) -> list[Fault]:
    """Return the framings and endings of engines' answers, which come beside the other faults.

    Args:
        seed: Seed of the generator.
        length_s: Length of the run, including its recovery.
    """
    random = Random(f"{seed}answers")
    end_s = length_s - RECOVERY_S
    faults = []
    for kind in (FaultKind.ANSWER_FRAMING, FaultKind.ANSWER_ENDING):
        for _ in range(int(ANSWER_FAULTS_PER_S * end_s)):
            duration_s = random.uniform(SHORTEST_FAULT_S, LONGEST_FAULT_S)
            faults.append(_place_fault(random, kind, duration_s=duration_s, end_s=end_s))
    return faults


def plan_releases(seed: int, *, length_s: float) -> list[Fault]:
    """Return the releases of a run, which come beside its other faults.

    Args:
        seed: Seed of the generator.
        length_s: Length of the run, including its recovery.
    """
    random = Random(f"{seed}release")
    end_s = length_s - RECOVERY_S - LONGEST_RELEASE_S
    count = max(1, int(RELEASES_PER_S * end_s))
    gaps = [random.uniform(SHORTEST_RELEASE_GAP_S, LONGEST_RELEASE_GAP_S) for _ in range(count)]
    return [
        _place_fault(random, FaultKind.RELEASE, duration_s=gap_s, end_s=max(gap_s, end_s))
        for gap_s in gaps
    ]


def plan_duty_faults(seed: int, *, length_s: float) -> list[Fault]:
    """Return the faults of the duties, which come beside the other faults.

    Args:
        seed: Seed of the generator.
        length_s: Length of the run, including its recovery.
    """
    random = Random(f"{seed}duties")
    end_s = length_s - RECOVERY_S
    faults = []
    for kind, longest_s in (
        (FaultKind.PROVIDER_CALLS, LONGEST_FAULT_S),
        (FaultKind.INSTANCE_HOLDER, LONGEST_FREEZE_S),
    ):
        for _ in range(max(1, int(DUTY_FAULTS_PER_S * end_s))):
            duration_s = min(end_s, random.uniform(SHORTEST_FAULT_S, longest_s))
            faults.append(_place_fault(random, kind, duration_s=duration_s, end_s=end_s))
    return faults


def plan_rolls(
    seed: int, *, length_s: float, instances: int = 4, grace_s: float = 4.0
) -> list[Fault]:
    """Return the rolls of a run, which come beside its other faults.

    Each begins so early that its instances are back before the recovery, if the run is long enough.

    Args:
        seed: Seed of the generator.
        length_s: Length of the run, including its recovery.
        instances: Number of instances.
        grace_s: Seconds for which an instance leaves at most.
    """
    random = Random(f"{seed}roll")
    end_s = length_s - RECOVERY_S
    faults = []
    for _ in range(max(1, int(ROLLS_PER_S * end_s))):
        gap_s = random.uniform(SHORTEST_ROLL_GAP_S, LONGEST_ROLL_GAP_S)
        last_s = max(gap_s + SHORTEST_ROLLS_S, end_s - grace_s - instances * gap_s - RESTART_S)
        faults.append(_place_fault(random, FaultKind.INSTANCE_ROLL, duration_s=gap_s, end_s=last_s))
    return faults


def _place_fault(random: Random, kind: FaultKind, *, duration_s: float, end_s: float) -> Fault:
    """Return a fault at any time before the recovery."""
    return Fault(
        start_s=random.uniform(0.0, max(0.0, end_s - duration_s)),
        kind=kind,
        duration_s=duration_s,
        target=random.random(),
        variant=random.random(),
    )
