"""End-to-end tests of streams beside endpoints of several software versions."""

from __future__ import annotations

import asyncio
import re
import signal
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from soak.partitions import FOLLOW_INTERVAL_S, PartitionKind

from guavamast.platform.standins.answer_body import WHOLE, AnswerEnding, Closing
from guavamast.platform.standins.site import HOST, KEY, RESUMABLE_PREFIX
from guavamast.platform.standins.store import StoreFault
from guavamast.platform.store_client import BINDINGS_TABLE
from guavamast.relay.http_connection import ConnectionLost, HttpConnection, MalformedAnswer
from guavamast.relay.stream_binding.take_up import BIND_WAITS_S
from tests._platform_callers import READY_S, PartitionableTestCase

if TYPE_CHECKING:
    from guavamast.platform.standins.engine import EngineStandIn, Run
    from tests._platform_callers import Instance

EVENTS: Final = 10
STREAMS: Final = 12
"""Streams that each test takes up."""
MIN_SHARE: Final = 0.5
"""Share of the streams that must go on where two endpoints of their version serve."""
SAVED_S: Final = 2.5
"""Seconds in which what began a stream is saved: two writes of the store."""
TABLE_S: Final = 1.5
"""Seconds in which all instances learn of an endpoint's leaving."""
MAX_REFUSAL_S: Final = 2.0
"""Seconds in which a caller is told that its stream can't go on."""
TARGET: Final = RESUMABLE_PREFIX + "stream"
EVENT_PATTERN: Final = re.compile(rb"id: (\d+)\ndata: \S+ (\S+)\n\n")


@dataclass(slots=True, kw_only=True)
class Stream:
    """The events of a stream that a caller holds, over all its attempts."""

    attempts: list[str] = field(default_factory=list)
    """Ids of the attempts."""
    numbers: list[int] = field(default_factory=list)
    """Numbers of the events, in the order of their arrival."""
    versions: set[str] = field(default_factory=set)
    """Software versions of the endpoints that made them."""
    status: int | None = None
    """Status of the last attempt."""
    retry_after: str | None = None

    def append(self, data: bytes) -> None:
        """Add the events of an attempt."""
        for number, version in EVENT_PATTERN.findall(data):
            self.numbers.append(int(number))
            self.versions.add(version.decode())

    @property
    def is_whole(self) -> bool:
        """Whether each event has arrived once, in order."""
        return self.numbers == list(range(1, EVENTS + 1))


class SoftwareVersionTestCase(PartitionableTestCase):
    """Base of tests with engines of several versions side by side."""

    instance_count = 3
    pool_engines = 4
    pool_versions = ("v1", "v2")
    retry_slack = 200

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.number = 0
        for engine in self.list_engines():
            engine.events = EVENTS

    def list_engines(self) -> list[EngineStandIn]:
        return [engine for name, engine in self.site.engines.items() if name.startswith("pool")]

    async def send(
        self,
        instance: Instance,
        stream: Stream,
        *,
        resumes: str | None = None,
        events: int = EVENTS,
        key: str = KEY,
    ) -> None:
        """Send a stream's next attempt, and leave after a number of its events."""
        self.number += 1
        request_id = f"a{self.number}"
        headers = [
            ("Host", HOST),
            ("Authorization", f"Bearer {key}"),
            ("X-Attempt-Id", request_id),
            ("X-Request-Deadline-Ms", "6000"),
        ]
        if resumes is not None:
            headers.append(("Resumes", resumes))
            headers.append(("Last-Event-Id", str(stream.numbers[-1])))
        stream.attempts.append(request_id)
        host, _, port = instance.callers.rpartition(":")
        async with asyncio.timeout(READY_S):
            connection = await HttpConnection.open(host, int(port), timeout_s=5.0)
            try:
                await connection.send("GET", TARGET, headers, b"")
                head = await connection.read_head()
                stream.status = head.status
                fields = {name.lower(): value for name, value in head.headers}
                stream.retry_after = fields.get("retry-after")
                stream.append(await read_events(connection, events))
            finally:
                connection.close()

    async def begin(self, instance: Instance, *, events: int = 2) -> Stream:
        """Begin a stream and leave after some of its events."""
        stream = Stream()
        await self.send(instance, stream, events=events)
        self.assertEqual(stream.numbers, list(range(1, events + 1)))
        return stream

    async def take_up(self, instance: Instance, stream: Stream, *, events: int = EVENTS) -> None:
        """Let the caller take its stream up at an instance, naming its first attempt."""
        await self.send(instance, stream, resumes=stream.attempts[0], events=events)

    def check_versions(self, streams: list[Stream]) -> None:
        """Check that no stream holds events of two versions, and none twice or out of order."""
        mixed = [stream for stream in streams if len(stream.versions) > 1]
        self.assertEqual(mixed, [], f"{len(mixed)} of {len(streams)} streams")
        for stream in streams:
            self.assertEqual(stream.numbers, list(range(1, len(stream.numbers) + 1)))

    def check_going_on(self, streams: list[Stream]) -> None:
        """Check that streams go on, each at the version that began it."""
        self.check_versions(streams)
        whole = sum(stream.is_whole for stream in streams)
        self.assertGreaterEqual(whole, MIN_SHARE * len(streams))

    def check_refused(self, streams: list[Stream], *, events: int = 2) -> None:
        """Check that no stream went on, and its caller was told that nothing has run."""
        self.check_versions(streams)
        for stream in streams:
            self.assertEqual((stream.status, len(stream.numbers)), (503, events))
            self.assertGreater(float(stream.retry_after or 0.0), 0.0)
            self.assertEqual(self.count_runs(stream.attempts[-1]), 0)

    def count_runs(self, request_id: str) -> int:
        return sum(
            run.request_id == request_id
            for engine in [*self.site.engines.values(), *self.site.crashed_engines]
            for run in engine.runs
        )


async def read_events(connection: HttpConnection, events: int) -> bytes:
    """Return the first events of a stream, fewer if it ends or breaks off before."""
    data = b""
    try:
        while data.count(b"\n\n") < events:
            chunk = await connection.read_chunk()
            if chunk is None:
                break
            data += chunk
    except (ConnectionLost, MalformedAnswer):
        pass
    whole = [event + b"\n\n" for event in data.split(b"\n\n")[:-1]]
    return b"".join(whole[:events])


class ResumedAnswerTest(SoftwareVersionTestCase):
    """A stream that its engine breaks off goes on within the answer at the same version."""

    def break_first_runs_off(self) -> None:
        """Let each engine break off the streams that it begins, and finish those it resumes."""
        broken = AnswerEnding(pieces=3, part_bytes=5, closing=Closing.RESET)

        def choose_ending(run: Run) -> None:
            for engine in self.list_engines():
                if run in engine.runs:
                    engine.ending = WHOLE if "last-event-id" in run.headers else broken

        for engine in self.list_engines():
            engine.on_run = choose_ending

    async def test_streams_go_on_at_the_version_that_began_them(self) -> None:
        """Guards against a retry that takes any endpoint of the service."""
        self.break_first_runs_off()
        streams = [await self.begin_whole(instance) for instance in self.instances * 4]
        self.check_going_on(streams)

    async def test_forwarded_streams_go_on_at_the_version_that_began_them(self) -> None:
        """Guards against a retry through another instance that takes any endpoint."""
        self.cut(PartitionKind.REFUSE, [1], "pool")
        await asyncio.sleep(10 * FOLLOW_INTERVAL_S)
        self.break_first_runs_off()
        streams = [await self.begin_whole(self.instances[1]) for _ in range(STREAMS)]
        self.check_going_on(streams)

    async def begin_whole(self, instance: Instance) -> Stream:
        """Send a stream's first attempt and read all of it."""
        stream = Stream()
        await self.send(instance, stream)
        return stream


class LonelyVersionTest(ResumedAnswerTest):
    """A stream whose engine is alone of its version breaks off visibly."""

    pool_versions = ("v1", "v2", "v3", "v4")

    def check_going_on(self, streams: list[Stream]) -> None:
        """Check that none went on, as no other engine of its version serves."""
        self.check_versions(streams)
        for stream in streams:
            self.assertEqual(len(stream.numbers), 3)


class TakenUpStreamTest(SoftwareVersionTestCase):
    """A stream that its caller takes up goes on at the version that began it, or not at all."""

    async def begin_all(self, instance: Instance) -> list[Stream]:
        return [await self.begin(instance) for _ in range(STREAMS)]

    async def test_at_the_same_instance(self) -> None:
        """Guards against a take-up that is treated as a new stream."""
        streams = await self.begin_all(self.instances[0])
        for stream in streams:
            await self.take_up(self.instances[0], stream)
        self.check_going_on(streams)

    async def test_at_other_instances(self) -> None:
        """Guards against an instance that doesn't know what began a stream, and guesses."""
        streams = await self.begin_all(self.instances[0])
        for number, stream in enumerate(streams):
            await self.take_up(self.instances[1 + number % 2], stream)
        self.check_going_on(streams)

    async def test_after_the_first_instance_was_killed(self) -> None:
        """Guards against what began a stream being known to one process only."""
        streams = await self.begin_all(self.instances[0])
        await self.instances[0].stop()
        for number, stream in enumerate(streams):
            await self.take_up(self.instances[1 + number % 2], stream)
        self.check_going_on(streams)

    async def test_at_an_instance_that_started_since(self) -> None:
        """Guards against an instance that guesses as it was not there when the stream began."""
        streams = await self.begin_all(self.instances[0])
        started = await self.start_instance("late")
        for stream in streams:
            await self.take_up(started, stream)
        self.check_going_on(streams)

    async def test_at_an_instance_that_started_since_when_the_first_was_killed(self) -> None:
        """Guards against a take-up that finds nobody who was told of the stream."""
        streams = await self.begin_all(self.instances[0])
        await self.instances[0].stop()
        started = await self.start_instance("late")
        for stream in streams:
            await self.take_up(started, stream)
        self.check_going_on(streams)

    async def test_twice_naming_the_first_attempt(self) -> None:
        """Guards against a second take-up that goes by the endpoint of the first one."""
        streams = await self.begin_all(self.instances[0])
        for stream in streams:
            await self.take_up(self.instances[1], stream, events=3)
            await self.take_up(self.instances[2], stream)
        self.check_going_on(streams)

    async def test_naming_an_attempt_that_took_the_stream_up(self) -> None:
        """Guards against a take-up that is known as the stream's first attempt only."""
        streams = await self.begin_all(self.instances[0])
        for stream in streams:
            await self.take_up(self.instances[1], stream, events=3)
            await self.send(self.instances[2], stream, resumes=stream.attempts[1])
        self.check_going_on(streams)

    async def test_on_a_route_with_weights(self) -> None:
        """Guards against a take-up whose new id picks another service of its route."""
        self.site.route_weights[RESUMABLE_PREFIX] = {"pool": 1.0, "portal": 1.0}
        for name, engine in self.site.engines.items():
            engine.events = EVENTS
            if name.startswith("portal"):
                engine.version = "p1"
                self.site.register_engine(name, "portal", engine.port)
        self.site.publish_configuration()
        await asyncio.sleep(TABLE_S)
        streams = await self.begin_all(self.instances[0])
        self.assertGreater(len(set().union(*(stream.versions for stream in streams))), 1)
        for number, stream in enumerate(streams):
            await self.take_up(self.instances[number % 3], stream)
        self.check_going_on(streams)

    async def test_when_no_engine_of_the_version_is_left(self) -> None:
        """Guards against a stream that goes on at another version as its own has left."""
        streams = await self.begin_all(self.instances[0])
        for name, engine in list(self.site.engines.items()):
            if engine.version in set().union(*(stream.versions for stream in streams)):
                self.site.store.drop("servers", name)
        engine = await self.site.add_engine("pool-9", "pool", version="v3")
        engine.events = EVENTS
        await asyncio.sleep(TABLE_S)
        for stream in streams:
            await self.take_up(self.instances[1], stream)
        self.check_refused(streams)

    async def test_naming_an_attempt_that_nobody_knows(self) -> None:
        """Guards against a guess where nothing is known of the attempt that is named."""
        streams = await self.begin_all(self.instances[0])
        loop = asyncio.get_running_loop()
        for number, stream in enumerate(streams):
            asked_at = loop.time()
            await self.send(self.instances[number % 3], stream, resumes="never-sent")
            self.assertLess(loop.time() - asked_at, MAX_REFUSAL_S)
        self.check_refused(streams)

    async def test_naming_an_attempt_of_another_organisation(self) -> None:
        """Guards against an organisation that learns of another's stream, or goes on with it."""
        self.site.other_keys = {"florist": "florist-key"}
        self.site.publish_configuration()
        await asyncio.sleep(TABLE_S)
        streams = await self.begin_all(self.instances[0])
        for number, stream in enumerate(streams):
            instance = self.instances[number % 3]
            await self.send(instance, stream, resumes=stream.attempts[0], key="florist-key")
        self.check_refused(streams)

    async def take_up_at_a_lone_instance(self, streams: list[Stream]) -> None:
        """Let streams be taken up at a new instance that is cut off from all others."""
        await asyncio.sleep(sum(BIND_WAITS_S))
        started = await self.start_instance("late")
        for instance in self.instances:
            instance.process.send_signal(signal.SIGSTOP)
        try:
            for stream in streams:
                await self.take_up(started, stream)
        finally:
            for instance in self.instances:
                instance.process.send_signal(signal.SIGCONT)

    async def test_at_an_instance_that_is_cut_off_from_the_others(self) -> None:
        """Guards against streams that can't go on where only the store tells what began them."""
        streams = (await self.begin_all(self.instances[0]))[:3]
        await self.take_up_at_a_lone_instance(streams)
        self.check_going_on(streams)

    async def test_at_an_instance_that_is_cut_off_when_nothing_was_saved(self) -> None:
        """Guards against a guess where nobody can be asked what began the stream."""
        streams = (await self.begin_all(self.instances[0]))[:3]
        await asyncio.sleep(SAVED_S)
        for key, _ in self.site.store.list_versions(BINDINGS_TABLE):
            self.site.store.drop(BINDINGS_TABLE, key)
        await self.take_up_at_a_lone_instance(streams)
        self.check_refused(streams)

    async def test_new_streams_are_spread_over_all_versions(self) -> None:
        """Guards against a preference for one version."""
        streams = [await self.begin(self.instances[0]) for _ in range(4 * STREAMS)]
        began = [next(iter(stream.versions)) for stream in streams]
        self.assertGreaterEqual(min(began.count("v1"), began.count("v2")), STREAMS)


class RestartedEngineTest(SoftwareVersionTestCase):
    """Engines that start again under their ids and addresses with other software."""

    async def restart(self, name: str, version: str) -> None:
        """Start an engine again; the row of its former start stays listed."""
        old = self.site.engines[name]
        port = old.port
        await old.stop()
        engine = self.site.build_engine(name, "pool", version=version)
        engine.events = EVENTS
        await engine.listen(port)
        self.site.engines[name] = engine

    async def restart_all(self, version: str) -> None:
        for engine in self.list_engines():
            if engine.version != version:
                await self.restart(engine.engine_id, version)

    async def test_streams_do_not_go_on_by_the_row_of_an_earlier_start(self) -> None:
        """Guards against an endpoint that runs other software before its row says so."""
        streams = [await self.begin(self.instances[0]) for _ in range(STREAMS)]
        self.site.store.fault = StoreFault.SILENT
        await self.restart_all("v3")
        for number, stream in enumerate(streams):
            await self.take_up(self.instances[number % 3], stream)
        self.check_versions(streams)

    async def restart_instances(self) -> None:
        """Kill the processes of all instances at once, and start them again at their addresses."""
        for instance in self.instances:
            instance.process.kill()
        for instance in self.instances:
            await instance.process.wait()
        self.instances = [await self.relaunch(instance) for instance in self.instances]

    async def relaunch(self, instance: Instance) -> Instance:
        """Start a new process with the settings of a former one."""
        settings = self.settings[instance.callers]
        started = self.build_instance(await self.launch(settings), settings)
        self.assertTrue(await started.wait_ready())
        return started

    async def test_streams_go_on_at_their_version_after_all_instances_were_killed(self) -> None:
        """Guards against streams that nobody remembers, or that are joined of two versions.

        Half of the engines have just been replaced by other software, at their addresses and under
        their ids, when all instances are killed at once and come back. Callers take their streams
        up, twice each, while new streams with other ids begin.
        """
        streams = [await self.begin(self.instances[number % 3]) for number in range(STREAMS)]
        await asyncio.sleep(SAVED_S)
        await self.restart("pool-0", "v3")
        await self.restart("pool-1", "v3")
        for name in ("pool-0", "pool-1"):
            self.site.register_engine(name, "pool", self.site.engines[name].port)
        await self.restart_instances()
        for attempt in range(2):
            for number, stream in enumerate(streams):
                instance = self.instances[(number + attempt) % 3]
                if not stream.is_whole:
                    await asyncio.gather(self.take_up(instance, stream), self.begin(instance))
        self.check_versions(streams)
        self.check_going_on(streams)

    async def test_streams_that_were_not_saved_do_not_go_on(self) -> None:
        """Guards against a guess at what began streams that nobody remembers."""
        self.site.store.fault = StoreFault.SILENT
        streams = [await self.begin(self.instances[number % 3]) for number in range(STREAMS)]
        for instance in self.instances:
            instance.process.kill()
        for instance in self.instances:
            await instance.process.wait()
        self.site.store.fault = StoreFault.NONE
        self.instances = [await self.relaunch(instance) for instance in self.instances]
        for number, stream in enumerate(streams):
            await self.take_up(self.instances[number % 3], stream)
        self.check_refused(streams)

    async def test_streams_are_not_bound_by_the_row_of_an_earlier_start(self) -> None:
        """Guards against a new stream that is taken for one of the software that ran before."""
        await self.begin(self.instances[0])
        self.site.store.fault = StoreFault.SILENT
        await self.restart("pool-0", "v3")
        await self.restart("pool-1", "v3")
        streams = [await self.begin(self.instances[0]) for _ in range(2 * STREAMS)]
        self.site.store.fault = StoreFault.NONE
        for name in ("pool-0", "pool-1"):
            self.site.register_engine(name, "pool", self.site.engines[name].port)
        await asyncio.sleep(TABLE_S)
        for number, stream in enumerate(streams):
            await self.take_up(self.instances[number % 3], stream)
        self.check_versions(streams)
        self.check_going_on([stream for stream in streams if "v3" not in stream.versions])
