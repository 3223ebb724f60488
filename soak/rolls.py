"""Command line of the rolls: ``python -m soak.rolls --seeds 1-50``."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
import tempfile
from collections import Counter

import fire

from soak.departures import Outcome
from soak.roll_run import RollRun, RollVerdict

BUSY_LOOP = "while True: pass"


async def run_seed(seed: int, *, source: str, busy: int, keep: str) -> RollVerdict:
    """Run one seed, beside busy processes if it is odd, and print the verdict."""
    directory = tempfile.mkdtemp(prefix=f"rolls-{seed}-", dir=keep or None)
    count = busy if seed % 2 else 0
    load = [subprocess.Popen([sys.executable, "-c", BUSY_LOOP]) for _ in range(count)]
    try:
        verdict = await RollRun(seed=seed, directory=directory, source=source).run()
    finally:
        for process in load:
            process.kill()
            process.wait()
    kept = not (verdict.lost or verdict.failures or verdict.wrong_runs)
    print(f"seed {seed}: {'kept' if kept else 'BROKEN'}, {_describe(verdict)}", flush=True)
    for line in [*verdict.lost, *verdict.failures]:
        print(f"  {line}")
    if not kept:
        print(f"  logs in {directory}", flush=True)
    return verdict


async def run_seeds(
    seeds: range, *, source: str, busy: int, parallel: int, keep: str
) -> list[RollVerdict]:
    """Run a range of seeds, ``parallel`` of them at a time."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    slots = asyncio.Semaphore(parallel)

    async def run_one(seed: int) -> RollVerdict:
        async with slots:
            return await run_seed(seed, source=source, busy=busy, keep=keep)

    return await asyncio.gather(*(run_one(seed) for seed in seeds))


def roll(
    seeds: str = "1-50", source: str = "", busy: int = 8, parallel: int = 1, keep: str = ""
) -> None:
    """Run seeds and print what became of the requests.

    Args:
        seeds: One seed, or a range such as 1-50.
        source: Directory with the version of the product that instances run; the present one if
            empty.
        busy: Number of busy processes beside odd seeds.
        parallel: Number of concurrent runs, in one loop: more than one delays all callers.
        keep: Directory for the logs; the system's temporary directory by default.
    """
    first, _, last = str(seeds).partition("-")
    numbers = range(int(first), int(last or first) + 1)
    verdicts = asyncio.run(
        run_seeds(numbers, source=source, busy=busy, parallel=parallel, keep=keep)
    )
    outcomes: Counter[Outcome] = Counter()
    for verdict in verdicts:
        outcomes += verdict.outcomes
    with_losses = sum(bool(verdict.outcomes[Outcome.LOST]) for verdict in verdicts)
    counts = ", ".join(f"{outcomes[outcome]} {outcome}" for outcome in Outcome)
    taken_and_cut = sum(verdict.taken_and_cut for verdict in verdicts)
    needless = sum(verdict.needless for verdict in verdicts)
    print(f"{len(verdicts)} seeds, {with_losses} with losses: {counts}")
    print(f"{taken_and_cut} of the excused taken while leaving, {needless} rejected needlessly")
    sys.exit(1 if any(one.lost or one.failures or one.wrong_runs for one in verdicts) else 0)


def _describe(verdict: RollVerdict) -> str:
    counts = ", ".join(f"{verdict.outcomes[outcome]} {outcome}" for outcome in Outcome)
    return (
        f"{counts}; {verdict.taken_and_cut} taken and cut, {verdict.needless} rejected needlessly, "
        f"{verdict.wrong_runs} wrong runs, "
        f"longest delay of a signal {verdict.longest_signal_delay_s:.3f} s"
    )


if __name__ == "__main__":
    fire.Fire(roll)
