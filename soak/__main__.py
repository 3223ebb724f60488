"""Command line of the fault soak: ``python -m soak --seeds 1-50 --parallel 4``."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from functools import partial
from typing import TYPE_CHECKING, Protocol

import fire

from soak.guarantees import REVOKE_BOUND_S
from soak.run import SoakRun

if TYPE_CHECKING:
    from soak.verdict import Verdict


class BuildRun(Protocol):
    """Builds the run of a seed."""

    def __call__(self, *, seed: int, directory: str) -> SoakRun:
        """Return the run of a seed, with its logs in a directory."""


async def run_seed(seed: int, build_run: BuildRun, *, keep: str) -> Verdict:
    """Run one seed, with its logs below ``keep`` if given, and print the verdict."""
    directory = tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=keep or None)
    verdict = await build_run(seed=seed, directory=directory).run()
    outcome = "kept" if not verdict.violations else "BROKEN"
    answered = f"{verdict.answered} of {verdict.requests} answered"
    stall = f"longest stall of the soak {verdict.longest_stall_s:.2f} s"
    print(f"seed {seed}: {outcome}, {answered}, streams: {verdict.shares}, {stall}", flush=True)
    if verdict.worst_order is not None:
        print(f"  closest to a wrong order: {verdict.worst_order}", flush=True)
    for line in verdict.violations:
        print(f"  {line}")
    if verdict.violations:
        print(f"  logs in {directory}; faults:", *verdict.faults, sep="\n    ", flush=True)
    return verdict


async def run_seeds(
    seeds: range, build_run: BuildRun, *, parallel: int, keep: str
) -> list[Verdict]:
    """Run a range of seeds, ``parallel`` of them at a time."""
    task = asyncio.current_task()
    assert task is not None
    # On SIGTERM, the soak still stops the processes that it has started.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    slots = asyncio.Semaphore(parallel)

    async def run_one(seed: int) -> Verdict:
        async with slots:
            return await run_seed(seed, build_run, keep=keep)

    return await asyncio.gather(*(run_one(seed) for seed in seeds))


def soak(
    seeds: str = "1-50",
    length_s: float = 18.0,
    instances: int = 4,
    parallel: int = 4,
    keep: str = "",
    revoke_s: float = REVOKE_BOUND_S,
    lethal: bool = False,
    partitions: bool = True,
    answers: bool = True,
    releases: bool = True,
    urgency: bool = True,
    prompts: bool = True,
    duties: bool = True,
    slowreaders: bool = True,
    ratelimits: bool = True,
    kept: bool = True,
    unplanned: bool = True,
    faults: bool = True,
) -> None:
    """Run seeds and print the violated guarantees.

    Args:
        seeds: One seed, or a range such as 1-50.
        length_s: Seconds for which callers send requests.
        instances: Number of instances in each run.
        parallel: Number of concurrent runs.
        keep: Directory for the logs; the system's temporary directory by default.
        revoke_s: Seconds after which a revoked key must be rejected. With a long bound, other
            bounds decide how long instances serve by stale state.
        lethal: Whether a caller repeats a request that ends the engines that run it.
        partitions: Whether instances are partitioned from engines beside the other faults.
        answers: Whether engines change the framing of their answers, and break them off.
        releases: Whether engines are replaced by others of other software versions, and callers
            take streams up at any instance.
        urgency: Whether callers of three kinds ask for more than a further service can do.
        prompts: Whether callers send prompts that share all but one part, which ends engines.
        duties: Whether one instance at a time reports usage, while it and the provider fail.
        slowreaders: Whether further callers read large responses slowly or stop reading, engines
            differ in speed, and one organisation asks for more than the others.
        ratelimits: Whether engines name the requests a second that they take, one after the other.
        kept: Whether callers use connections until they end, while instances stop in series.
        unplanned: Whether faults are injected beside planned work.
        faults: Whether any faults are injected.
    """
    first, _, last = str(seeds).partition("-")
    build_run = partial(
        SoakRun,
        length_s=length_s,
        instances=instances,
        revoke_s=revoke_s,
        lethal=lethal,
        partitions=partitions,
        answers=answers,
        releases=releases,
        urgency=urgency,
        prompts=prompts,
        duties=duties,
        slowreaders=slowreaders,
        ratelimits=ratelimits,
        kept=kept,
        unplanned=unplanned,
        faults=faults,
    )
    numbers = range(int(first), int(last or first) + 1)
    verdicts = asyncio.run(run_seeds(numbers, build_run, parallel=parallel, keep=keep))
    failed_seeds = sum(bool(verdict.violations) for verdict in verdicts)
    print(f"{len(verdicts) - failed_seeds} seeds kept all promises, {failed_seeds} did not")
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    fire.Fire(soak)
