"""A late reply about one stream binds another, which then goes on at other software."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path
from zlib import crc32

from support import deployment as deployments
from support.clients import build_headers
from support.deployment import HOST, KEY, ROOT, STABLE_WINDOW_S, Deployment
from support.record import COULD_NOT_RUN, TROUBLE, Record, play_case

INSTANCES = 8
ENGINES = (("i-e0", "v1"), ("i-e1", "v1"), ("i-e2", "v2"), ("i-e3", "v2"))
EVENTS = 49
DEADLINE_S = 12.011
GAP_S = 2.0
"""Longest of two seconds, four times the objective and eight times the longest pause."""
FROZEN_S = 4.0
"""Length of a freeze on the site."""
FIRST_STREAMS = 40
"""Streams at the machine that freezes; their clients take them up at the asked one."""
LATER_STREAMS = 16
"""Streams at a third machine, which the kill breaks off."""
FIRST_BEGIN_S = -1.0
LATER_BEGIN_S = 1.4
KILL_S = 2.2
"""Seconds after the begin of the freeze; the clients of the first streams have just left."""
TAKE_UP_S = (3.5, 3.9)
"""Seconds after it at which the clients of the later streams come back, spread evenly."""
CONNECT_TRIES = 5
CONNECT_PAUSE_S = 0.1
EVENT = re.compile(rb"id: (\d+)\ndata: token \d+ (v\d)\n\n")
ALLOWED_STREAMS = 2
"""Streams that may hold events from two software versions."""


@dataclass(slots=True, kw_only=True)
class Stream:
    """A stream over its client's tries."""

    name: str
    events: list[tuple[int, str]] = field(default_factory=list)
    ends: list[str] = field(default_factory=list)

    @property
    def versions(self) -> list[str]:
        """The software versions of its events, in the order of their first events."""
        return list(dict.fromkeys(version for _, version in self.events))

    @property
    def is_whole(self) -> bool:
        """Whether its client has all events, each once and in order."""
        return [number for number, _ in self.events] == list(range(1, EVENTS + 1))


async def connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
    """Connect to an instance, whose process may just be starting; None if it doesn't accept."""
    host, _, port = address.rpartition(":")
    for _ in range(CONNECT_TRIES):
        try:
            async with asyncio.timeout(1.0):
                return await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            await asyncio.sleep(CONNECT_PAUSE_S)
    return None


async def receive(stream: Stream, address: str, request_id: str, *, first_id: str) -> None:
    """Ask for a stream, or take it up, and add the events that come."""
    more = [("X-Model", "m"), ("X-Token-Usage", "826,300")]
    more.append(
        ("X-Prompt-Prefix", f"5c1e07a2:119,91bd3f06:79,{crc32(stream.name.encode()):x}:628")
    )
    if stream.events:
        more += [("Resumes", first_id), ("Last-Event-Id", str(stream.events[-1][0]))]
    headers = build_headers(HOST, KEY, request_id, int(DEADLINE_S * 1000), *more)
    body = b"draft an answer"
    headers.append(("Content-Length", str(len(body))))
    lines = ["POST /applicant-reply/1 HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    received = b""
    end = "the connection ends"
    connection = await connect(address)
    if connection is None:
        stream.ends.append("no connection")
        return
    reader, writer = connection
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)
    try:
        async with asyncio.timeout(DEADLINE_S):
            while True:
                async with asyncio.timeout(GAP_S):
                    data = await reader.read(65_536)
                if not data:
                    break
                received += data
                if received.endswith(b"0\r\n\r\n") or b"Content-Length: 0" in received:
                    break
    except TimeoutError:
        end = "the client leaves after a gap"
    except OSError as error:
        end = type(error).__name__
    writer.close()
    status = received[9:12].decode() or "nothing"
    if status == "200":
        whole = re.sub(rb"\r\n[0-9a-f]+\r\n", b"", received)
        stream.events += [(int(one[1]), one[2].decode()) for one in EVENT.finditer(whole)]
    stream.ends.append(f"{status}, {end}")


async def follow_first(stream: Stream, begins: str, taken_up: str) -> None:
    """Ask for a stream; take it up elsewhere if its client has left after a gap."""
    await receive(stream, begins, stream.name, first_id=stream.name)
    if not stream.is_whole:
        await receive(stream, taken_up, f"{stream.name}-again", first_id=stream.name)


async def follow_later(stream: Stream, begins: str, taken_up: str, *, back_at: float) -> None:
    """Ask for a stream; take it up elsewhere at a time of the loop if it was broken off."""
    await receive(stream, begins, stream.name, first_id=stream.name)
    if stream.is_whole:
        return
    await asyncio.sleep(max(0.0, back_at - asyncio.get_running_loop().time()))
    await receive(stream, taken_up, f"{stream.name}-again", first_id=stream.name)


async def disturb(deployment: Deployment, frozen_at: float, record: Record) -> None:
    """Freeze one machine, and kill the processes of all others in the meantime."""
    loop = asyncio.get_running_loop()
    frozen = deployment.instances[1]
    await asyncio.sleep(frozen_at - loop.time())
    os.kill(frozen.pid, signal.SIGSTOP)
    record.write(f"{frozen.name} freezes")
    await asyncio.sleep(frozen_at + KILL_S - loop.time())
    for instance in deployment.instances:
        if instance is not frozen:
            os.kill(instance.pid, signal.SIGKILL)
    record.write("the processes of all other machines are killed at the same moment")
    await asyncio.sleep(frozen_at + FROZEN_S - loop.time())
    os.kill(frozen.pid, signal.SIGCONT)
    record.write(f"{frozen.name} wakes")


async def play(deployment: Deployment, record: Record) -> list[Stream]:
    """Run the streams beside the disruption; return them."""
    loop = asyncio.get_running_loop()
    asked, frozen, third = (instance.front for instance in deployment.instances[:3])
    frozen_at = loop.time() + STABLE_WINDOW_S + 1.0
    tasks = [asyncio.create_task(disturb(deployment, frozen_at, record))] if TROUBLE else []
    await asyncio.sleep(frozen_at + FIRST_BEGIN_S - loop.time())
    first = [Stream(name=f"first-{number}") for number in range(FIRST_STREAMS)]
    tasks += [asyncio.create_task(follow_first(one, frozen, asked)) for one in first]
    await asyncio.sleep(frozen_at + LATER_BEGIN_S - loop.time())
    later = [Stream(name=f"later-{number}") for number in range(LATER_STREAMS)]
    begin, end = TAKE_UP_S
    for number, one in enumerate(later):
        back_at = frozen_at + begin + (end - begin) * number / (LATER_STREAMS - 1)
        tasks.append(asyncio.create_task(follow_later(one, third, asked, back_at=back_at)))
    await asyncio.gather(*tasks)
    return [*first, *later]


async def run(record: Record) -> int:
    """Play the case; return the exit status."""
    deployments.RESTART_DELAY_S = 0.5
    deployment = Deployment(record)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(Path(__file__).parent / "engine.py"),
        *(word for engine in ENGINES for word in engine),
        cwd=ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None and process.stdin is not None
    reading: asyncio.Task[None] | None = None
    try:
        ports = (await process.stdout.readline()).split()
        reading = asyncio.create_task(read_lines(process.stdout, record))
        deployment.start_store()
        for (engine_id, version), port in zip(ENGINES, ports, strict=True):
            deployment.register_engine(engine_id, "guavamast-pool", int(port), version=version)
        if not await deployment.start_instances(INSTANCES):
            return COULD_NOT_RUN
        streams = await play(deployment, record)
        for stream in streams:
            record.write(
                f"{stream.name}: {len(stream.events)} events of {' and '.join(stream.versions)}; "
                f"tries: {'; '.join(stream.ends)}"
            )
        mixed = [stream.name for stream in streams if len(stream.versions) > 1]
        whole = sum(stream.is_whole for stream in streams)
        record.write(f"streams: {len(streams)}, whole: {whole}, of two versions: {mixed}")
        broken = len(mixed) > ALLOWED_STREAMS
        if not any(stream.events for stream in streams):
            return COULD_NOT_RUN
        record.write(f"ORDER: {'BROKEN' if broken else 'held'}")
        return 1 if broken else 0
    finally:
        process.stdin.close()
        await process.wait()
        if reading is not None:
            await reading
        await deployment.stop()


async def read_lines(reader: asyncio.StreamReader, record: Record) -> None:
    """Record what the engines print."""
    while line := await reader.readline():
        record.write(line.decode().strip())


if __name__ == "__main__":
    play_case(run, Path(__file__).parent)
