"""A fleet of real processes on loopback: platform, engines, service, dispatchers, entries."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, Final

from tornado.httpclient import HTTPClientError

from guavamast.demo import apply_configuration
from guavamast.local_fleet import (
    OPERATOR_TOKEN,
    build_fleet_text,
    write_instance_settings,
)
from tests._callers import Caller

START_TIMEOUT_S: Final = 30.0


class Process:
    """One process that a test has started."""

    def __init__(self, *arguments: str, log: Path) -> None:
        self._log = log.open("ab")
        self.popen = subprocess.Popen(
            [sys.executable, "-m", "guavamast", *arguments],
            stdout=subprocess.PIPE,
            stderr=self._log,
            stdin=subprocess.DEVNULL,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        )

    def read_line(self) -> str:
        """Return the next line of its standard output."""
        return self.popen.stdout.readline().decode()

    def kill(self) -> None:
        """Kill it at once."""
        self.popen.kill()
        self.popen.wait()

    def pause(self) -> None:
        """Pause it with SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume it."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Send it SIGTERM, so that it leaves gracefully."""
        self.popen.terminate()

    def close(self) -> None:
        """Kill it if it still runs."""
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()
        self.popen.stdout.close()
        self._log.close()


class ProcessFleet:
    """Starts and ends the processes of a fleet.

    Args:
        instances: Number of instances, each an entry and a dispatcher process.
        engines: Number of stand-in engines.
        services: Number of endpoints of the stand-in service.
    """

    def __init__(self, *, instances: int = 2, engines: int = 2, services: int = 1) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="guavamast-")
        self.folder = Path(self._folder.name)
        self.instances = instances
        self.platform, self.platform_url = self._start_standin("platform")
        self.engines = [self._start_standin("engine") for _ in range(engines)]
        self.services = [self._start_standin("service") for _ in range(services)]
        self.dispatchers: list[Process] = []
        self.entries: list[Process] = []
        self.settings = write_instance_settings(
            self.folder, count=instances, platform_url=self.platform_url
        )
        self.urls = [f"http://{item.instance.caller_address}" for item in self.settings]

    async def start(self) -> None:
        """Start all instances and put a configuration in force everywhere."""
        for number in range(self.instances):
            self.dispatchers.append(self.start_daemon("dispatcher", number))
            self.entries.append(self.start_daemon("entry", number))
        await self.wait_alive(range(self.instances))
        version = await apply_configuration(self.urls[0], self.build_text())
        await self.wait_for_version(version, range(self.instances))

    def start_daemon(self, role: str, number: int) -> Process:
        """Start one daemon of one instance."""
        path = self.folder / f"instance-{number}.ini"
        return Process(role, "--settings", str(path), log=self.folder / f"{role}-{number}.log")

    def build_text(self, **options: Any) -> str:
        """Return the text of this fleet's configuration."""
        return build_fleet_text(
            engine_urls=[url for _, url in self.engines],
            service_urls=[url for _, url in self.services],
            **options,
        )

    async def wait_alive(self, numbers: Any) -> None:
        """Wait until entries respond."""
        for number in numbers:
            await self._wait(number, "/healthz", 200, lambda _: True)

    async def wait_for_version(self, version: int, numbers: Any) -> None:
        """Wait until entries have a version in force."""
        for number in numbers:
            await self._wait(number, "/readyz", 200, lambda body: body["version"] >= version)

    async def set_fault(self, url: str, **fault: Any) -> None:
        """Set a stand-in's fault."""
        await Caller(url=url).fetch("/fault", body=json.dumps(fault).encode())

    async def read_runs(self) -> dict[str, int]:
        """Return the number of runs of each key, over all endpoints of the service."""
        total: dict[str, int] = {}
        for _, url in self.services:
            response = await Caller(url=url).fetch("/runs", method="GET")
            for key, count in json.loads(response.body)["runs"].items():
                total[key] = total.get(key, 0) + count
        return total

    async def read_status(self, number: int) -> dict[str, Any]:
        """Return the fleet status that one entry reports."""
        caller = Caller(url=self.urls[number], key=OPERATOR_TOKEN)
        return json.loads((await caller.fetch("/v1/status", method="GET")).body)

    def find_tracebacks(self) -> list[str]:
        """Return the tracebacks of uncaught exceptions in the logs, with the file names."""
        tracebacks = []
        for path in sorted(self.folder.glob("*.log")):
            text = path.read_text()
            start = text.find("Traceback")
            if start >= 0:
                tracebacks.append(f"{path.name}: {text[start : start + 3000]}")
        return tracebacks

    def close(self) -> None:
        """Kill all processes and print the tracebacks that they logged."""
        for fault in self.find_tracebacks():
            print(fault, file=sys.stderr)
        standins = [self.platform, *(p for p, _ in [*self.engines, *self.services])]
        for process in [*self.entries, *self.dispatchers, *standins]:
            process.resume() if process.popen.poll() is None else None
            process.close()
        self._folder.cleanup()

    def _start_standin(self, kind: str) -> tuple[Process, str]:
        process = Process("standin", kind, "--port", "0", log=self.folder / f"standin-{kind}.log")
        port = process.read_line().split()[-1].rsplit(":", 1)[-1]
        return process, f"http://127.0.0.1:{port}"

    async def _wait(self, number: int, path: str, status: int, accepts: Any) -> None:
        caller = Caller(url=self.urls[number])
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                response = await caller.fetch(path, method="GET", timeout_s=2.0)
                if response.code == status and accepts(json.loads(response.body)):
                    return
            except (OSError, HTTPClientError):
                pass
            await asyncio.sleep(0.05)
        logs = "\n".join(path.read_text()[-2000:] for path in self.folder.glob("*.log"))
        raise TimeoutError(f"{self.urls[number]}{path} gave no expected response in time:\n{logs}")
