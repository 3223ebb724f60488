"""Instances of a rolling fleet, of any version of the product, and what they log."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from guavamast.platform.standins.site import write_settings
from soak.process_ends import stop_process
from soak.process_signals import handles_signal, send_signal

GRACE_S: Final = 8.0
"""Seconds from SIGTERM until a process is killed."""
KEPT_LOG_LINES: Final = 6
LOG_TICK_S: Final = 0.001
"""Seconds to which the times in the log are rounded."""


@dataclass(slots=True, kw_only=True)
class RollInstance:
    """One instance, which runs as a series of processes."""

    settings: dict[str, Any]
    directory: str
    source: str
    grace_s: float = GRACE_S
    """Seconds from SIGTERM until a process is killed."""
    signals: list[float] = field(default_factory=list)
    wall_signals: list[float] = field(default_factory=list)
    """Times of the same signals on the wall clock, which the log uses."""
    failures: list[str] = field(default_factory=list)
    process: asyncio.subprocess.Process | None = None
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    """Held while it is replaced, so that no process is left behind by two replacements."""

    @property
    def name(self) -> str:
        """Its name."""
        return str(self.settings["node_name"])

    @property
    def address(self) -> str:
        """Its address for callers."""
        return str(self.settings["listen"]["front"])

    @property
    def log(self) -> Path:
        """The log of all its processes."""
        return Path(self.directory) / f"{self.name}.log"

    async def start(self) -> None:
        """Start a process of the version in the source directory."""
        environment = os.environ | {
            "GUAVAMAST_SETTINGS": write_settings(self.settings, self.directory)
        }
        if self.source:
            environment["PYTHONPATH"] = self.source
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "guavamast.platform",
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace time, as the platform does."""
        process = self.process
        if process is None or process.returncode is not None:
            return
        end = await stop_process(process.pid, grace_s=self.grace_s)
        status = await process.wait()
        if end is None:
            self.failures.append(f"{self.name} ended before SIGTERM with code {status}")
            return
        self.signals.append(end.signalled_at)
        self.wall_signals.append(end.wall_signalled_at)
        if end.killed:
            stopped = self._describe_stop(end.wall_signalled_at)
            self.failures.append(
                f"{self.name} had not ended after the grace time; exit status {status}; "
                f"seen ended {end.took_s:.2f} s after SIGTERM, {stopped}"
            )
        if status not in (0, -signal.SIGKILL) and end.handled:
            self.failures.append(f"{self.name} exited with code {status}")

    def reload(self) -> None:
        """Send SIGHUP, if the process handles it yet."""
        process = self.process
        if process is None or process.returncode is not None:
            return
        if handles_signal(process.pid, signal.SIGHUP):
            send_signal(process, signal.SIGHUP)

    def list_signal_delays(self) -> list[float]:
        """Return the seconds from each signal until its process logged that it leaves."""
        lines = self.log.read_text(errors="replace").splitlines()
        leaving = [json.loads(one)["time"] for one in lines if '"event":"leaving"' in one]
        return [
            min(at - sent_at for sent_at in self.wall_signals if sent_at <= at + LOG_TICK_S)
            for at in leaving
        ]

    def _describe_stop(self, signalled_at: float) -> str:
        """Tell when the process had nothing more to do, which is apart from when it ended."""
        for line in self.log.read_text(errors="replace").splitlines():
            if '"event":"stopped"' in line:
                offset_s = json.loads(line)["time"] - signalled_at
                if offset_s > -LOG_TICK_S:
                    return f"`stopped` logged {offset_s:.2f} s after it"
        return "`stopped` not logged"

    def find_log_lines(self, request_id: str) -> list[str]:
        """Return the last lines that name a request."""
        lines = self.log.read_text(errors="replace").splitlines()
        return [line for line in lines if f'"{request_id}"' in line][-KEPT_LOG_LINES:]
