"""Instances as processes, disturbed by signals."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from guavamast.platform.standins.site import write_settings

if TYPE_CHECKING:
    from soak.proxy import LinkProxy

SKEW_VARIABLE: Final = "GUAVAMAST_SOAK_SKEW_S"
"""Seconds by which the time of day of an instance is ahead."""
END_S: Final = 8.0
"""Time for an instance to end after SIGTERM, above the grace of its settings."""
STARTED: Final = b'"event":"started"'
"""On the log once a process listens and answers signals."""


def handles_signal(pid: int, number: signal.Signals) -> bool:
    """Return whether a process ignores or catches a signal, so that it does not end by it."""
    bit = 1 << (number - 1)
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as status:
            masks = [line.split()[1] for line in status if line.startswith(("SigIgn", "SigCgt"))]
    except FileNotFoundError:
        return False
    return any(int(mask, 16) & bit for mask in masks)


class Instance:
    """One instance and the processes that it has been so far.

    Args:
        settings: What the platform says to it.
        directory: Where its settings and logs are written.
        store_link: Its way to the store.
    """

    def __init__(self, *, settings: dict[str, Any], directory: str, store_link: LinkProxy) -> None:
        self.name = str(settings["node_name"])
        self.store_link = store_link
        self.callers = str(settings["listen"]["front"])
        self.directory = str(settings["listen"]["directory"])
        self.log = Path(directory) / f"{self.name}.log"
        self.surprises: list[str] = []
        """Ends of its processes that nobody had asked for."""
        self._settings_path = write_settings(settings, directory)
        self._process: asyncio.subprocess.Process | None = None
        self._log_start = 0
        self._busy = asyncio.Lock()

    async def start(self, *, skew_s: float = 0.0) -> None:
        """Start a process.

        Args:
            skew_s: Seconds by which its time of day is ahead.
        """
        with open(self.log, "ab") as log:
            self._log_start = log.tell()
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "soak.skewed",
                env=os.environ
                | {"GUAVAMAST_SETTINGS": self._settings_path, SKEW_VARIABLE: str(skew_s)},
                stdout=log,
                stderr=log,
            )

    async def kill(self, *, for_s: float, skew_s: float = 0.0) -> None:
        """Kill the process and start another one after a while."""
        async with self._busy:
            await self._end(signal.SIGKILL)
            await asyncio.sleep(for_s)
            await self.start(skew_s=skew_s)

    async def freeze(self, *, for_s: float) -> None:
        """Stop the process and let it go on after a while."""
        async with self._busy:
            self._signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(for_s)
            finally:
                self._signal(signal.SIGCONT)

    async def terminate(self) -> None:
        """Ask the process to end and start another one when it has."""
        async with self._busy:
            await self._end(signal.SIGTERM)
            await self.start()

    def reload(self) -> None:
        """Tell the process that its settings have changed.

        Before its interpreter has run a line of ours, the signal ends a process, and nothing that
        the process does can change that; it reads its settings later anyway.
        """
        if self._process is not None and handles_signal(self._process.pid, signal.SIGHUP):
            self._signal(signal.SIGHUP)

    async def stop(self) -> None:
        """End the process for good."""
        async with self._busy:
            self._signal(signal.SIGCONT)
            await self._end(signal.SIGTERM)

    def find_faults(self) -> list[str]:
        """Return the unexpected errors that the processes have logged."""
        lines = self.log.read_text(errors="replace").splitlines()
        marks = ('"event":"fault"', "Traceback")
        return [f"{self.name}: {line}" for line in lines if any(mark in line for mark in marks)]

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def _end(self, number: signal.Signals) -> None:
        process = self._process
        assert process is not None
        if process.returncode is not None:
            self.surprises.append(f"{self.name} ended by itself with {process.returncode}")
            return
        process.send_signal(number)
        try:
            await asyncio.wait_for(process.wait(), END_S)
        except TimeoutError:
            self.surprises.append(f"{self.name} did not end within {END_S} s")
            with suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        if process.returncode not in self._list_good_codes(number):
            self.surprises.append(f"{self.name} ended with {process.returncode}")

    def _list_good_codes(self, number: signal.Signals) -> tuple[int, ...]:
        """Return how a process may end after a signal.

        One that has not begun to listen has nothing to finish and may end at once.
        """
        if number is signal.SIGKILL:
            return (-signal.SIGKILL,)
        started = STARTED in self.log.read_bytes()[self._log_start :]
        return (0,) if started else (0, -signal.SIGTERM)
