"""Instances as processes, disrupted by signals."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from guavamast.platform.standins.site import write_settings
from soak.guarantees import Span
from soak.partitions import PARTITION_ENV_VARIABLE
from soak.process_signals import handles_signal, send_signal

if TYPE_CHECKING:
    from collections.abc import Iterator

    from soak.proxy import LinkProxy

SKEW_ENV_VARIABLE: Final = "GUAVAMAST_SOAK_SKEW_S"
"""Environment variable: seconds by which the wall clock of an instance is ahead."""
STOP_GRACES: Final = 2.0
"""Time for an instance to exit after SIGTERM, as a multiple of the grace of its settings."""
STARTED_EVENT: Final = b'"event":"started"'
"""Event that a process logs once it listens and handles signals."""


class Instance:
    """One instance, which runs as a series of processes.

    Args:
        settings: Its settings, as the platform provides them.
        directory: Directory for its settings file and log.
        store_link: Its link to the store.
    """

    def __init__(self, *, settings: dict[str, Any], directory: str, store_link: LinkProxy) -> None:
        self.name = str(settings["node_name"])
        self.store_link = store_link
        self.caller_address = str(settings["listen"]["front"])
        self.directory_address = str(settings["listen"]["directory"])
        self.log = Path(directory) / f"{self.name}.log"
        self.partition_file = Path(directory) / f"{self.name}.partition"
        self.unexpected_exits: list[str] = []
        """Process exits that the soak did not request, or with an unexpected exit code."""
        self.disruptions: list[Span] = []
        """Times in which its process was killed, suspended, stopped or replaced, or in which it had
        no sound way to the store."""
        self.signals: list[float] = []
        """Monotonic times at which its processes got SIGTERM."""
        self.was_killed = False
        """Whether it was killed, and had not started again before its present process."""
        self._stop_timeout_s = STOP_GRACES * float(settings["bounds"]["grace_s"])
        self._settings_path = write_settings(settings, directory)
        self._process: asyncio.subprocess.Process | None = None
        self._log_start = 0
        self._lock = asyncio.Lock()

    @property
    def pid(self) -> int:
        """Id of its present process."""
        assert self._process is not None
        return self._process.pid

    @property
    def is_disrupted(self) -> bool:
        """Whether its process is being killed, suspended, stopped or replaced."""
        return self._lock.locked()

    async def start(self, *, skew_s: float = 0.0) -> None:
        """Start a process.

        Args:
            skew_s: Seconds by which its wall clock is ahead.
        """
        with open(self.log, "ab") as log:
            self._log_start = log.tell()
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "soak.skewed",
                env=os.environ
                | {
                    "GUAVAMAST_SETTINGS": self._settings_path,
                    SKEW_ENV_VARIABLE: str(skew_s),
                    PARTITION_ENV_VARIABLE: str(self.partition_file),
                },
                stdout=log,
                stderr=log,
            )

    async def kill(self, *, for_s: float, skew_s: float = 0.0) -> None:
        """Kill the process and start another one after a delay."""
        async with self._lock:
            with self.record_disruption():
                await self._end_process(signal.SIGKILL)
                await asyncio.sleep(for_s)
                await self.start(skew_s=skew_s)
                self.was_killed = True

    async def freeze(self, *, for_s: float) -> None:
        """Suspend the process with SIGSTOP and resume it after a delay."""
        async with self._lock:
            with self.record_disruption():
                self._signal(signal.SIGSTOP)
                try:
                    await asyncio.sleep(for_s)
                finally:
                    self._signal(signal.SIGCONT)

    async def terminate(self) -> None:
        """Terminate the process with SIGTERM and start another one once it has exited."""
        async with self._lock:
            with self.record_disruption():
                was_killed = self.was_killed and not self.has_started()
                await self._end_process(signal.SIGTERM)
                await self.start()
                self.was_killed = was_killed

    def reload(self) -> None:
        """Make the process reload its settings with SIGHUP, if it handles the signal yet.

        SIGHUP ends a process whose interpreter has not yet run any code of the instance, and the
        process can't prevent that. Such a process reads its settings later anyway.
        """
        if self._process is not None and handles_signal(self._process.pid, signal.SIGHUP):
            self._signal(signal.SIGHUP)

    async def stop(self) -> None:
        """Stop the process without starting another one."""
        async with self._lock:
            self._signal(signal.SIGCONT)
            await self._end_process(signal.SIGTERM)

    def has_started(self) -> bool:
        """Return whether its present process listens and handles signals."""
        return STARTED_EVENT in self.log.read_bytes()[self._log_start :]

    def find_logged_errors(self) -> list[str]:
        """Return the faults and tracebacks that the processes have logged."""
        lines = self.log.read_text(errors="replace").splitlines()
        markers = ('"event":"fault"', "Traceback")
        return [f"{self.name}: {line}" for line in lines if any(mark in line for mark in markers)]

    @contextmanager
    def record_disruption(self) -> Iterator[None]:
        """Record the time in which the body of the statement runs as a disruption."""
        started_at = time.monotonic()
        try:
            yield
        finally:
            self.disruptions.append(Span(started_at=started_at, ended_at=time.monotonic()))

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None:
            send_signal(self._process, number)

    async def _end_process(self, number: signal.Signals) -> None:
        process = self._process
        assert process is not None
        if process.returncode is not None:
            self.unexpected_exits.append(
                f"{self.name} exited unexpectedly with code {process.returncode}"
            )
            return
        if number is signal.SIGTERM:
            self.signals.append(time.monotonic())
        send_signal(process, number)
        try:
            await asyncio.wait_for(process.wait(), self._stop_timeout_s)
        except TimeoutError:
            self.unexpected_exits.append(
                f"{self.name} did not exit within {self._stop_timeout_s} s"
            )
            send_signal(process, signal.SIGKILL)
            await process.wait()
        if process.returncode not in self._list_expected_exit_codes(number):
            self.unexpected_exits.append(f"{self.name} exited with code {process.returncode}")

    def _list_expected_exit_codes(self, number: signal.Signals) -> tuple[int, ...]:
        """Return the exit codes that are allowed after a signal.

        A process that does not listen yet has no requests to finish, so SIGTERM may end it at once.
        """
        if number is signal.SIGKILL:
            return (-signal.SIGKILL,)
        return (0,) if self.has_started() else (0, -signal.SIGTERM)
