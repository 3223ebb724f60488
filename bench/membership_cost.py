"""Cost of idle dispatchers and time to put a configuration in force, in processes on loopback.

Run with ``python -m bench.membership_cost [COUNT ...]``. Bytes are those of the dispatchers' TCP
connections in both directions, as ``ss`` reports them, plus 52 bytes of IP and TCP header for each
segment. Processor time is the kernel's count for all threads of a process.
"""

from __future__ import annotations

import asyncio
import os
import re
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from statistics import fmean, linear_regression
from typing import Final

import psutil
from grpclib.client import Channel

from guavamast.overlay import Overlay
from guavamast.peer_grpc import PeerStub
from guavamast.peer_pb2 import AnnounceRequest

WINDOW_S: Final = 30.0
SETTLE_S: Final = 20.0
"""Time before measuring, in which the streams used for joining are closed."""
QUIET_S: Final = 10.0
"""Time after the last change of configuration, in which members publish its version."""
START_GAP_S: Final = 0.1
"""Time between two process starts, which load the machine more than anything else here."""
HEADER_BYTES: Final = 52
DESIGN_SIZE: Final = 350
SETTINGS: Final = """\
[instance]
name = n{number:02}
failure_domain = {region}-{domain}
region = {region}
[listen]
callers = 127.0.0.1:0
peers = 127.0.0.1:{port}
[platform]
tables = {platform}
objects = {platform}
[peers]
seeds = {seeds}
[operators]
token_file = {token_file}
"""
CLASS_TEXT: Final = """\
[class drafting]
tier = 1
first_token_ms = 430
token_interval_ms = 26
completion_s = 30
guaranteed_share = 0.5
queue_limit = {limit}
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """Counters summed over all dispatchers of a fleet at one time."""

    at: float
    cpu_s: float
    sent: int
    received: int
    segments: int


class DispatcherFleet:
    """Dispatcher processes and one stand-in platform.

    Args:
        folder: Folder for settings and logs.
        count: Number of dispatchers.
    """

    def __init__(self, *, folder: Path, count: int) -> None:
        self.folder = folder
        self.platform = self._start("platform", "standin", "platform", "--port", "0")
        port = self.platform.stdout.readline().decode().split()[-1].rsplit(":", 1)[-1]
        self.platform_url = f"http://127.0.0.1:{port}"
        (folder / "tokens").write_text("operator secret-secret-secret-secret\n")
        self.ports = _find_ports(count)
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        for number in range(count):
            self._write_settings(number)
            self.start(number)
            time.sleep(START_GAP_S)

    def start(self, number: int) -> None:
        """Start or restart one dispatcher."""
        settings = str(self.folder / f"n{number:02}.ini")
        self.processes[number] = self._start(f"n{number:02}", "dispatcher", "--settings", settings)

    def kill(self, number: int) -> None:
        """Kill one dispatcher."""
        self.processes[number].kill()
        self.processes[number].wait()

    def read_log(self, number: int) -> list[str]:
        """Return the lines that a dispatcher has logged."""
        return (self.folder / f"n{number:02}.log").read_text().splitlines()

    async def announce(self, number: int, version: int) -> float:
        """Send a configuration to one dispatcher and return the wall clock time of the send."""
        channel = Channel("127.0.0.1", self.ports[number])
        text = CLASS_TEXT.format(limit=100 + version)
        started = time.time()
        await PeerStub(channel).Announce(
            AnnounceRequest(configuration_version=version, configuration_text=text)
        )
        channel.close()
        return started

    def find_in_force(self, version: int) -> list[float]:
        """Return the wall clock times, from logs, at which dispatchers put a version in force."""
        pattern = re.compile(rf"^(\S+ \S+) INFO configuration {version} in force")
        found = []
        for number in self.processes:
            for line in self.read_log(number):
                match = pattern.match(line)
                if match:
                    moment = datetime.strptime(match.group(1), "%Y-%m-%d %H:%M:%S,%f")
                    found.append(moment.timestamp())
        return found

    def sample(self) -> Sample:
        """Return the current counters."""
        pids = [process.pid for process in self.processes.values()]
        sent, received, segments = _read_connections(pids)
        cpu_s = sum(_read_cpu_s(pid) for pid in pids)
        return Sample(
            at=time.monotonic(), cpu_s=cpu_s, sent=sent, received=received, segments=segments
        )

    def read_memory_mb(self) -> float:
        """Return the mean resident memory of a dispatcher, in MB."""
        sizes = [psutil.Process(p.pid).memory_info().rss for p in self.processes.values()]
        return fmean(sizes) / 1e6

    def close(self) -> None:
        """End all processes."""
        for process in [*self.processes.values(), self.platform]:
            process.kill()
            process.wait()
        self.platform.stdout.close()

    def _write_settings(self, number: int) -> None:
        seeds = ", ".join(f"127.0.0.1:{port}" for port in self.ports[:2])
        text = SETTINGS.format(
            number=number,
            region=f"region{number % 3}",
            domain="ab"[number // 3 % 2],
            port=self.ports[number],
            platform=self.platform_url,
            seeds=seeds,
            token_file=self.folder / "tokens",
        )
        (self.folder / f"n{number:02}.ini").write_text(text)

    def _start(self, name: str, *arguments: str) -> subprocess.Popen[bytes]:
        with (self.folder / f"{name}.log").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "guavamast", *arguments],
                stdout=subprocess.PIPE if name == "platform" else subprocess.DEVNULL,
                stderr=log,
                env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
            )


async def measure(count: int) -> dict[str, float]:
    """Return the measurements at one fleet size, rates per dispatcher and second."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = DispatcherFleet(folder=Path(folder), count=count)
        try:
            await asyncio.sleep(SETTLE_S + count * 0.2)
            figures = {}
            for version in (1, 2, 3):
                figures[f"in_force_{version}_s"] = await _measure_spread(fleet, version)
            await asyncio.sleep(QUIET_S)
            before = fleet.sample()
            await asyncio.sleep(WINDOW_S)
            after = fleet.sample()
            seconds = (after.at - before.at) * count
            payload = after.sent + after.received - before.sent - before.received
            segments = after.segments - before.segments
            figures["cpu_percent"] = 100.0 * (after.cpu_s - before.cpu_s) / seconds
            figures["payload_bytes"] = payload / seconds
            figures["wire_bytes"] = (payload + segments * HEADER_BYTES) / seconds
            figures["segments"] = segments / seconds
            figures["rss_mb"] = fleet.read_memory_mb()
            return figures
        finally:
            fleet.close()


async def _measure_spread(fleet: DispatcherFleet, version: int) -> float:
    started = await fleet.announce(0, version)
    deadline = time.time() + 30.0
    while time.time() < deadline:
        found = fleet.find_in_force(version)
        if len(found) == len(fleet.processes):
            return max(found) - started
        await asyncio.sleep(0.1)
    return float("nan")


def _read_cpu_s(pid: int) -> float:
    tasks = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[0]) for task in tasks) / 1e9


def _read_connections(pids: list[int]) -> tuple[int, int, int]:
    text = subprocess.run(["ss", "-tinpHO"], capture_output=True, text=True, check=True).stdout
    wanted = [re.compile(rf"pid={pid},") for pid in pids]
    lines = [line for line in text.splitlines() if any(w.search(line) for w in wanted)]

    def add(name: str) -> int:
        return sum(int(found) for line in lines for found in re.findall(rf"{name}:(\d+)", line))

    return add("bytes_sent"), add("bytes_received"), add("segs_out") + add("segs_in")


def _find_ports(count: int) -> list[int]:
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def main() -> None:
    """Measure the sizes given on the command line and fit lines to each measurement."""
    counts = [int(text) for text in sys.argv[1:]] or [5, 14, 40]
    results = {}
    for count in counts:
        results[count] = asyncio.run(measure(count))
        print(count, {name: round(value, 3) for name, value in results[count].items()}, flush=True)
    if len(counts) > 1:
        for name in results[counts[0]]:
            _print_fit(name, {count: results[count][name] for count in counts})


def _print_fit(name: str, figures: dict[int, float]) -> None:
    """Print a measurement extrapolated to the design size by two linear fits.

    The number of links stops growing at about 14 instances, so the fit over the fleet size
    overestimates costs that depend on links. The fit over the links omits costs that grow with the
    table of members.
    """
    by_size = linear_regression(list(figures), list(figures.values()))
    by_links = linear_regression([count_links(n) for n in figures], list(figures.values()))
    size = by_size.intercept + by_size.slope * DESIGN_SIZE
    links = by_links.intercept + by_links.slope * count_links(DESIGN_SIZE)
    print(
        f"{name}: a member {by_size.slope:.5f}, at {DESIGN_SIZE} {size:.3f}; "
        f"a link {by_links.slope:.5f}, at {DESIGN_SIZE} {links:.3f}"
    )


def count_links(count: int) -> float:
    """Return the mean number of neighbours of an instance in a fleet of this benchmark."""
    regions = {f"n{number:02}": f"region{number % 3}" for number in range(count)}
    overlay = Overlay()
    return fmean(len(overlay.find_neighbours(name, regions)) for name in regions)


if __name__ == "__main__":
    main()
