"""End-to-end tests on the platform: real processes against the project's stand-ins."""

from __future__ import annotations

import asyncio
import signal
import unittest
from contextlib import contextmanager
from typing import TYPE_CHECKING

from soak.process_signals import handles_signal, send_signal

from guavamast.platform.standins.engine import EVENTS_PER_STREAM, EngineFault, encode_event
from guavamast.platform.standins.site import (
    CALL_PREFIX,
    HOST,
    LOOKUP_PREFIX,
    RESUMABLE_PREFIX,
    STREAM_PREFIX,
)
from guavamast.platform.standins.store import StoreFault
from tests._platform_callers import READY_S, Caller, Instance, PlatformTestCase

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests._platform_callers import Reply


class PathTest(PlatformTestCase):
    """Behaviour of one or two instances and their engines as callers see it."""

    def count_runs(self) -> int:
        return sum(len(engine.runs) for engine in self.site.engines.values())

    def set_fault(self, fault: EngineFault, *names: str) -> None:
        for name, engine in self.site.engines.items():
            if not names or name in names:
                engine.fault = fault

    async def test_requests_and_responses_are_forwarded_unchanged(
        self,
    ) -> None:
        instance = await self.start_instance()
        caller = await Caller.open(instance.callers)
        for number in range(3):
            target = f"{CALL_PREFIX}x%2F?q={number}"
            reply = await caller.send_request(target, request_id=f"r{number}", body=b"pay 5")
            self.assertEqual((reply.status, reply.body), (200, b"answer r%d" % number))
            self.assertTrue(reply.headers["x-engine-seal"].startswith("seal-portal"))
        runs = [run for engine in self.site.engines.values() for run in engine.runs]
        self.assertEqual(
            {run.target for run in runs}, {f"{CALL_PREFIX}x%2F?q={n}" for n in range(3)}
        )
        for run in runs:
            self.assertEqual((run.tenant, run.body), ("bakery", b"pay 5"))
            self.assertNotIn("authorization", run.headers)
            self.assertLessEqual(int(run.headers["x-request-deadline-ms"]), 3000)

    async def test_unknown_keys_and_routes_are_refused(self) -> None:
        instance = await self.start_instance()
        caller = await Caller.open(instance.callers)
        self.assertEqual((await caller.send_request(CALL_PREFIX + "x", key="bad")).status, 401)
        self.assertEqual((await caller.send_request("/nowhere/")).status, 404)
        self.assertEqual(self.count_runs(), 0)

    async def test_requests_beyond_the_limits_are_refused(self) -> None:
        instance = await self.start_instance()
        caller = await Caller.open(instance.callers)
        reply = await caller.send_request(CALL_PREFIX, extra_headers=(("X-Long", "x" * 5000),))
        self.assertEqual(reply.status, 431)
        caller = await Caller.open(instance.callers)
        self.assertEqual((await caller.send_request(CALL_PREFIX, body=b"x" * 9000)).status, 413)
        self.assertEqual(self.count_runs(), 0)

    async def test_a_resumable_stream_is_resumed_on_another_engine(self) -> None:
        """The caller gets each event once, in order, although the first engine disconnects.

        The engine closes its connection in the middle of the third event. The partial event is not
        forwarded; the other engine sends that event again from its start.
        """
        instance = await self.start_instance()
        self.set_fault(EngineFault.CUT, "pool-0")
        caller = await Caller.open(instance.callers)
        # Both engines are equal candidates: send until the faulty one has been chosen.
        for number in range(60):
            name = f"r{number}"
            reply = await caller.send_request(RESUMABLE_PREFIX + "x", request_id=name)
            self.assertTrue(reply.complete)
            expected = b"".join(
                encode_event(name, event) for event in range(1, EVENTS_PER_STREAM + 1)
            )
            self.assertEqual(reply.body, expected)
            if self.site.engines["pool-0"].runs:
                break
        self.assertEqual(len(self.site.engines["pool-0"].runs), 1)

    async def test_a_non_resumable_stream_is_visibly_truncated(self) -> None:
        """The caller sees that the response is incomplete, and the request is not run again.

        The engine disconnects in the third event; the caller has received two, and its connection
        is closed without the end of the response.
        """
        instance = await self.start_instance()
        self.set_fault(EngineFault.CUT)
        caller = await Caller.open(instance.callers)
        reply = await caller.send_request(STREAM_PREFIX + "stream")
        self.assertFalse(reply.complete)
        self.assertEqual(reply.body, encode_event("r1", 1) + encode_event("r1", 2))
        self.assertEqual(self.count_runs(), 1)

    async def test_a_call_that_may_have_run_is_not_sent_again(self) -> None:
        """The caller gets 502, which does not say whether the call ran, and the call ran once.

        The engine runs the call and closes the connection without a response.
        """
        instance = await self.start_instance()
        self.set_fault(EngineFault.LOSE)
        caller = await Caller.open(instance.callers)
        self.assertEqual((await caller.send_request(CALL_PREFIX + "x", body=b"pay")).status, 502)
        self.assertEqual(self.count_runs(), 1)

    async def test_a_failed_lookup_is_retried_on_another_engine(self) -> None:
        instance = await self.start_instance()
        for fault in (EngineFault.LOSE, EngineFault.ERROR, EngineFault.HANG, EngineFault.UNSEALED):
            self.set_fault(fault, "portal-0")
            caller = await Caller.open(instance.callers)
            for number in range(4):
                name = f"{fault}{number}"
                reply = await caller.send_request(LOOKUP_PREFIX + "x", request_id=name)
                self.assertEqual((reply.status, reply.body), (200, b"answer " + name.encode()))

    async def test_an_unsigned_response_is_not_forwarded(self) -> None:
        instance = await self.start_instance()
        self.set_fault(EngineFault.UNSEALED)
        caller = await Caller.open(instance.callers)
        self.assertEqual((await caller.send_request(CALL_PREFIX + "x", body=b"pay")).status, 502)

    async def test_a_response_to_another_request_is_not_forwarded(self) -> None:
        instance = await self.start_instance()
        self.set_fault(EngineFault.CROSSED)
        caller = await Caller.open(instance.callers)
        for number in range(1, 7):
            reply = await caller.send_request(
                CALL_PREFIX + "x", request_id=f"r{number}", body=b"pay"
            )
            self.assertEqual((reply.status, self.count_runs()), (502, number))

    async def test_a_second_answer_never_reaches_the_next_caller(self) -> None:
        """Each caller gets its own response although engines send a second one after each.

        The second response arrives on the idle connection, where the next request would take it for
        its own. The connection is closed instead.
        """
        instance = await self.start_instance()
        self.set_fault(EngineFault.EXTRA)
        caller = await Caller.open(instance.callers)
        for number in range(12):
            reply = await caller.send_request(
                CALL_PREFIX + "x", request_id=f"r{number}", body=b"pay"
            )
            if reply.status == 200:
                self.assertEqual(reply.body, b"answer r%d" % number)
            else:
                self.assertEqual(reply.status, 502)

    async def test_a_call_that_runs_is_not_rejected_with_another_one(self) -> None:
        """Guards against payments that are made twice, as 503 says that they didn't run.

        Where the answer to a call is expected, on a kept connection, its engine sends the rejection
        of an earlier request. The call runs; 502 doesn't say whether it has.
        """
        instance = await self.start_instance()
        caller = await Caller.open(instance.callers)
        for number in range(8):
            await caller.send_request(LOOKUP_PREFIX + "x", request_id=f"lookup{number}")
        for status in (421, 429, 503):
            for engine in self.site.engines.values():
                engine.runs.clear()
                engine.stray_response = (
                    f"HTTP/1.1 {status} Rejected\r\nX-Attempt-Id: lookup0\r\n"
                    "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                ).encode()
            reply = await caller.send_request(
                CALL_PREFIX + "x", request_id=f"r{status}", body=b"pay"
            )
            self.assertEqual((reply.status, self.count_runs()), (502, 1))

    async def test_a_rejected_call_is_not_run_and_has_retry_after(self) -> None:
        instance = await self.start_instance()
        self.set_fault(EngineFault.FULL)
        caller = await Caller.open(instance.callers)
        reply = await caller.send_request(CALL_PREFIX + "x", body=b"pay")
        self.assertEqual(reply.status, 503)
        self.assertGreater(float(reply.headers["retry-after"]), 0.0)
        self.assertEqual(self.count_runs(), 0)

    async def test_an_engine_at_a_reused_address_runs_nothing(self) -> None:
        """A request is not run by another service that was assigned the engine's address.

        An engine stops and its address is assigned to an engine of another service, while the store
        still lists the first one. Each request names the engine that it expects.
        """
        instance = await self.start_instance()
        other_engine = await self.site.add_engine("stranger", "pool")
        for name in ("portal-0", "portal-1"):
            await self.site.engines[name].stop()
            self.site.register_engine(name, "portal", other_engine.port)
        caller = await Caller.open(instance.callers)
        async with asyncio.timeout(READY_S):
            while not other_engine.connections:
                self.assertEqual(
                    (await caller.send_request(CALL_PREFIX + "x", body=b"pay")).status, 503
                )
                await asyncio.sleep(0.05)
        self.assertEqual((await caller.send_request(CALL_PREFIX + "x", body=b"pay")).status, 503)
        self.assertEqual(other_engine.runs, [])

    async def test_a_caller_disconnect_closes_the_engine_connection(self) -> None:
        instance = await self.start_instance()
        self.set_fault(EngineFault.HANG)
        caller = await Caller.open(instance.callers)
        pending = asyncio.create_task(
            caller.send_request(CALL_PREFIX + "x", body=b"pay", timeout_ms=60_000)
        )
        async with asyncio.timeout(READY_S):
            while not self.count_runs():
                await asyncio.sleep(0.01)
        caller.connection.close()
        pending.cancel()
        async with asyncio.timeout(READY_S):
            while not any(engine.abandoned for engine in self.site.engines.values()):
                await asyncio.sleep(0.01)
        self.assertEqual(self.count_runs(), 1)

    async def test_a_revoked_key_expires_while_the_store_is_unresponsive(self) -> None:
        """A revoked key gets 503 once the instance can no longer tell whether it is valid.

        The store stops answering and the operator removes the key, which the instance can't read.
        It accepts the key for a part of the two seconds of the bound, and no longer; when the store
        answers again, the key gets 401.
        """
        instance = await self.start_instance()
        self.site.store.fault = StoreFault.SILENT
        self.site.keys = ["another"]
        self.site.publish_configuration()
        await asyncio.sleep(2.0)
        caller = await Caller.open(instance.callers)
        reply = await caller.send_request(CALL_PREFIX + "x", body=b"pay")
        self.assertEqual(reply.status, 503)
        self.assertEqual(self.count_runs(), 0)
        self.assertEqual(await instance.read_readiness(), 503)
        self.site.store.fault = StoreFault.NONE
        await instance.wait_ready()
        self.assertEqual(
            (await caller.send_request(CALL_PREFIX + "x", request_id="r2", body=b"pay")).status, 401
        )

    async def test_a_draining_engine_receives_no_requests(self) -> None:
        instance = await self.start_instance()
        self.site.store.drop("servers", "portal-0")
        port_unused = 1
        self.site.register_engine("portal-1", "portal", port_unused, state="draining")
        third = await self.site.add_engine("portal-2", "portal")
        async with asyncio.timeout(READY_S):
            while True:
                before = self.count_runs()
                caller = await Caller.open(instance.callers)
                reply = await caller.send_request(LOOKUP_PREFIX + "x")
                if len(third.runs) and self.count_runs() - before == 1 and reply.status == 200:
                    break
        for number in range(8):
            await caller.send_request(LOOKUP_PREFIX + "x", request_id=f"later{number}")
        self.assertGreaterEqual(len(third.runs), 9)

    async def test_a_paused_instance_sends_nothing_by_a_stale_configuration(self) -> None:
        """No call runs at a service that lost its route longer ago than the bound.

        The instance is paused for 2.5 s; meanwhile an operator moves the route to another service,
        which must be in force after 2 s, and callers send requests. The resumed instance receives
        them before it reads the store, and would send them by its stale configuration.
        """
        self.site.bounds["revoke_ms"] = 9000
        instance = await self.start_instance()
        await self.site.add_engine("annex-0", "annex")
        callers = [await Caller.open(instance.callers) for _ in range(4)]
        await self.send_lookups(callers, "before")
        runs_before = self.count_runs()
        with self.pause(instance):
            self.site.route_services[LOOKUP_PREFIX] = "annex"
            self.site.publish_configuration()
            await asyncio.sleep(2.5)
            pending = asyncio.create_task(self.send_lookups(callers, "after"))
            await asyncio.sleep(0.1)
        for reply in await pending:
            self.assertIn(reply.status, (200, 503))
        annex = self.site.engines["annex-0"]
        self.assertEqual(self.count_runs() - runs_before, len(annex.runs))
        self.assertEqual(
            (await callers[0].send_request(LOOKUP_PREFIX + "x", request_id="last")).status, 200
        )
        self.assertEqual(annex.runs[-1].request_id, "last")

    async def test_a_paused_instance_sends_nothing_to_a_draining_engine(self) -> None:
        """No call reaches an engine that started to drain longer ago than the bound.

        The instance is paused for 2.5 s; meanwhile an engine starts to drain, must receive nothing
        more from 2 s on, and callers send requests. The resumed instance receives them before it
        reads the store, and would choose among the engines in its stale state.
        """
        self.site.bounds["revoke_ms"] = 9000
        instance = await self.start_instance()
        callers = [await Caller.open(instance.callers) for _ in range(8)]
        await self.send_lookups(callers, "before")
        leaving = self.site.engines["portal-0"]
        runs_before = len(leaving.runs)
        with self.pause(instance):
            self.site.register_engine("portal-0", "portal", leaving.port, state="draining")
            await asyncio.sleep(2.5)
            pending = asyncio.create_task(self.send_lookups(callers, "after"))
            await asyncio.sleep(0.1)
        for reply in await pending:
            self.assertIn(reply.status, (200, 503))
        self.assertEqual(len(leaving.runs), runs_before)

    async def test_an_engine_whose_row_was_removed_receives_no_requests(self) -> None:
        """No call reaches an engine seconds after its row was removed.

        The instance is paused for 2.5 s, in which an engine's row is removed without draining; the
        engine must receive nothing more from 2 s on. The fault: the resumed instance reads the
        store, yet requests half a second later are still sent there.
        """
        self.site.bounds["revoke_ms"] = 9000
        instance = await self.start_instance()
        callers = [await Caller.open(instance.callers) for _ in range(8)]
        await self.send_lookups(callers, "before")
        leaving = self.site.engines["portal-0"]
        with self.pause(instance):
            self.site.store.drop("servers", "portal-0")
            await asyncio.sleep(2.5)
        await asyncio.sleep(0.5)
        runs_before = len(leaving.runs)
        for reply in await self.send_lookups(callers, "after"):
            self.assertEqual(reply.status, 200)
        self.assertEqual(len(leaving.runs), runs_before)

    async def send_lookups(self, callers: list[Caller], name: str) -> list[Reply]:
        """Send a look-up from each caller and return the replies."""
        pending = [
            caller.send_request(LOOKUP_PREFIX + "x", request_id=f"{name}{number}")
            for number, caller in enumerate(callers)
        ]
        return list(await asyncio.gather(*pending))

    @contextmanager
    def pause(self, instance: Instance) -> Iterator[None]:
        """Pause a process within the context."""
        instance.process.send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            instance.process.send_signal(signal.SIGCONT)

    async def test_a_stopped_instance_completes_its_requests_and_is_not_listed(self) -> None:
        """No response is lost when an instance is stopped.

        SIGTERM arrives while a stream is in progress. The instance is no longer ready or listed to
        callers, still answers those that use its old address, and exits with code 0 in time.
        """
        first = await self.start_instance("one")
        second = await self.start_instance("two")
        caller = await Caller.open(first.callers)
        pending = asyncio.create_task(caller.send_request(STREAM_PREFIX + "stream"))
        await asyncio.sleep(0.05)
        first.process.send_signal(signal.SIGTERM)
        reply = await pending
        self.assertTrue(reply.complete)
        self.assertEqual(await first.read_readiness(), 503)
        late = await (await Caller.open(first.callers)).send_request(CALL_PREFIX + "x", body=b"pay")
        self.assertEqual((late.status, late.headers.get("connection")), (200, "close"))
        resolver = await Caller.open(second.directory)
        response = await resolver.send_request(f"/v1/resolve?name={HOST}&region=r&zone=a")
        self.assertNotIn(first.callers.encode(), response.body)
        self.assertIn(second.callers.encode(), response.body)
        self.assertEqual(await asyncio.wait_for(first.process.wait(), READY_S), 0)

    async def test_sighup_during_startup_does_not_stop_the_process(self) -> None:
        """The instance becomes ready on its first start.

        SIGHUP, which reports changed settings, arrives while the process still loads its modules,
        when its default action would end the process: once early, then until it is ready.
        """
        while True:
            settings = self.site.build_settings("one")
            process = await self.launch(settings)
            instance = Instance(process, settings["listen"])
            self.addAsyncCleanup(instance.stop)
            await self.wait_signal_ignored(process.pid)
            while process.returncode is None and await instance.read_readiness() != 200:
                send_signal(process, signal.SIGHUP)
                await asyncio.sleep(0.02)
            if process.returncode is None:
                return
            assert process.stderr is not None
            self.assertIn(b"Address already in use", await process.stderr.read())

    async def wait_signal_ignored(self, pid: int) -> None:
        """Wait until a process ignores SIGHUP, which the first line of its main function sets."""
        async with asyncio.timeout(READY_S):
            while not handles_signal(pid, signal.SIGHUP):
                await asyncio.sleep(0.002)

    async def test_invalid_settings_are_reported_with_all_findings(self) -> None:
        settings = self.site.build_settings("one") | {"ip": None, "zone": 7}
        process = await self.launch(settings)
        _, errors = await process.communicate()
        self.assertEqual(process.returncode, 2)
        self.assertIn(b"missing_key ip", errors)
        self.assertIn(b"bad_value zone", errors)


if __name__ == "__main__":
    unittest.main()
