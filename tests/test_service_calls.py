"""Tests of a call over real connections, with stand-ins of the platform and the service."""

from __future__ import annotations

import asyncio
import json
import time
import unittest
from collections import Counter
from unittest.mock import patch

from guavamast.clocks import SystemClock
from guavamast.endpoint_sender import HttpEndpointSender
from guavamast.errors import ErrorCode, GuavamastError, Outcome, Refusal
from guavamast.fleet_objects import CallRule, Endpoint, EndpointKind
from guavamast.group_commit import GroupCommit
from guavamast.metrics import NoMetrics
from guavamast.operation_store import OperationStore
from guavamast.operations import OperationState, check_key
from guavamast.platform_http import HttpPlatformClient
from guavamast.send_gates import PauseDetector
from guavamast.service_calls import (
    RetryPolicy,
    ServiceCall,
    ServiceCalls,
    SlotGrant,
    SlotSource,
    SlotUnavailable,
)
from guavamast.standins.faults import Fault
from guavamast.standins.platform import PlatformStandin
from guavamast.standins.service import ServiceStandin
from tests.operation_fakes import SimulatedGate
from tests.operation_simulation import OperationSimulation


class StaticSlotSource(SlotSource):
    """Grants slots of the listed endpoints in order, without a limit."""

    def __init__(self, urls: list[str]) -> None:
        self.urls = urls
        self.used: list[bool] = []

    async def acquire(self, call: ServiceCall, *, excluded: frozenset[str]) -> SlotGrant:
        for url in self.urls:
            if url not in excluded:
                return StaticSlotGrant(self, url)
        raise SlotUnavailable(ErrorCode.NO_ENDPOINT, call.rule.service, status=503)


class StaticSlotGrant(SlotGrant):
    """A slot of one of the listed endpoints."""

    def __init__(self, slots: StaticSlotSource, url: str) -> None:
        self.slots = slots
        self._endpoint = Endpoint(
            name=url, kind=EndpointKind.SERVICE, url=url, failure_domain="d", slots=1
        )

    @property
    def endpoint(self) -> Endpoint:
        return self._endpoint

    def release(self, *, used: bool, failed: bool, duration_s: float) -> None:  # noqa: ARG002
        self.slots.used.append(used)


class TwoRetries(RetryPolicy):
    """Allows three attempts."""

    def record_success(self, call: ServiceCall) -> None:
        pass

    def plan(self, call: ServiceCall, *, attempt: int, now: float) -> float | None:  # noqa: ARG002
        return 0.0 if attempt < 3 else None


class CountingMetrics(NoMetrics):
    """Records counts and the last value of each gauge."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}

    def count(self, name: str, amount: int = 1) -> None:
        self.counts[name] += amount

    def gauge(self, name: str, value: float) -> None:
        self.gauges[name] = value


class ServiceCallsTest(unittest.IsolatedAsyncioTestCase):
    """The complete path of one call, without the daemons."""

    async def asyncSetUp(self) -> None:
        self.platform = PlatformStandin()
        self.services = [ServiceStandin(), ServiceStandin()]
        for standin in (self.platform, *self.services):
            standin.start()
            self.addCleanup(standin.stop)
        self.metrics = CountingMetrics()
        self.slots = StaticSlotSource([service.url for service in self.services])
        self.calls = self.build_calls()

    def build_calls(self) -> ServiceCalls:
        """Return the service calls of another instance on the same platform."""
        clock = SystemClock()
        url = self.platform.url
        client = HttpPlatformClient(tables_url=url, objects_url=url, timeout_s=2.0)
        self.store = OperationStore(
            client=GroupCommit(client=client, clock=clock), clock=clock, inline_limit=100
        )
        return ServiceCalls(
            store=self.store,
            slots=self.slots,
            sender=HttpEndpointSender(),
            gate=SimulatedGate(OperationSimulation()),
            pauses=PauseDetector(now=time.monotonic()),
            retries=TwoRetries(),
            clock=clock,
            metrics=self.metrics,
        )

    async def run_call(
        self,
        *,
        body: bytes = b"{}",
        idempotent: bool = False,
        key: str = "k",
        timeout_s: float = 20.0,
        calls: ServiceCalls | None = None,
    ) -> dict:
        rule = CallRule(service="ledger", call="settle", idempotent=idempotent, timeout_s=10.0)
        call = ServiceCall(
            request_id="r",
            organisation="acme",
            rule=rule,
            body=body,
            content_type="application/json",
            idempotency_key="" if idempotent else key,
            class_name="counter",
            tier=1,
            deadline=time.monotonic() + timeout_s,
        )
        return json.loads((await (calls or self.calls).run(call)).body)

    async def expect_rejection(
        self, code: ErrorCode, outcome: Outcome, **options: object
    ) -> Refusal:
        with self.assertRaises(Refusal) as caught:
            await self.run_call(**options)
        self.assertEqual((caught.exception.code, caught.exception.outcome), (code, outcome))
        return caught.exception

    async def test_recorded_response_is_served_again_by_another_instance(self) -> None:
        for key, body in (("small", b'{"a": 1}'), ("large", b'{"a": "%s"}' % (b"x" * 500))):
            first = await self.run_call(key=key, body=body)
            self.assertEqual(await self.run_call(key=key, body=body), first)
            self.assertEqual(
                await self.run_call(key=key, body=body, calls=self.build_calls()), first
            )
            view = await self.calls.get_operation("acme", key)
            self.assertEqual(view.state, OperationState.DONE)
            self.assertEqual(json.loads(view.response.body), first)
            self.assertEqual(self.services[0].log.runs[key], 1)
        self.assertEqual(len(self.platform.objects), 1)
        reused = await self.expect_rejection(
            ErrorCode.IDEMPOTENCY_KEY_REUSED, Outcome.NOT_RUN, key="small", body=b"{}"
        )
        self.assertEqual(reused.status, 422)

    async def test_altered_object_is_not_served_as_the_response(self) -> None:
        await self.run_call(body=b'{"a": "%s"}' % (b"x" * 500))
        name = next(iter(self.platform.objects))
        self.platform.objects[name] = self.platform.objects[name][:-1]
        await self.expect_rejection(
            ErrorCode.ANSWER_INVALID,
            Outcome.OUTCOME_UNKNOWN,
            body=b'{"a": "%s"}' % (b"x" * 500),
        )

    async def test_duplicate_request_while_the_first_runs(self) -> None:
        self.services[0].fault = Fault(kind="slow", delay_s=0.5)
        first = asyncio.ensure_future(self.run_call())
        while not self.services[0].log.runs:
            await asyncio.sleep(0.01)
        again = await self.expect_rejection(
            ErrorCode.IN_PROGRESS, Outcome.OUTCOME_UNKNOWN, calls=self.build_calls()
        )
        self.assertEqual((again.status, again.retry_after_s), (409, 1.0))
        self.assertEqual(
            (await self.calls.get_operation("acme", "k")).state, OperationState.STARTED
        )
        await first

    async def test_response_after_the_deadline_is_recorded(self) -> None:
        # The caller's deadline passes while the service runs, and it gets an unknown outcome. The
        # entry keeps waiting, so that a later request gets the response of the only run.
        self.services[0].fault = Fault(kind="slow", delay_s=0.5)
        rejection = await self.expect_rejection(
            ErrorCode.DEADLINE_EXCEEDED, Outcome.OUTCOME_UNKNOWN, timeout_s=0.3
        )
        self.assertEqual(rejection.status, 504)
        await self.calls.drain()
        self.assertEqual((await self.run_call(calls=self.build_calls()))["run"], 1)

    async def test_lost_platform_responses_cause_no_second_run_and_no_lost_response(self) -> None:
        # Every write takes effect but the connection closes before its response; reads succeed.
        # Each write must be verified by a read, with one run and its response recorded.
        original = self.platform.is_faulty

        def lose_writes(kind: str) -> bool:
            writes = self.platform.tables.transactions
            lost, self.seen = writes > self.seen, writes
            return lost if kind == "lose_answers" else original(kind)

        self.seen = 0
        self.platform.is_faulty = lose_writes
        self.assertEqual((await self.run_call())["run"], 1)
        self.assertEqual((await self.run_call())["run"], 1)

    async def test_platform_outage(self) -> None:
        # Non-idempotent calls are rejected at once and nothing is sent; idempotent ones still run.
        self.platform.fault = Fault(kind="down")
        rejection = await self.expect_rejection(ErrorCode.PLATFORM_UNAVAILABLE, Outcome.NOT_RUN)
        self.assertEqual((rejection.status, rejection.retry_after_s), (503, 5.0))
        self.assertEqual((await self.run_call(idempotent=True))["run"], 1)
        self.assertEqual(self.services[0].log.total, 1)

    async def test_no_new_call_while_too_many_rows_wait(self) -> None:
        # An intermittent outage lets calls run whose rows can't be finished; each is kept in
        # memory. Without a limit the entry grows until it is killed, and all of them are lost.
        with patch("guavamast.deferred_writes.MAX_DEFERRED_WRITES", 0):
            await self.expect_rejection(ErrorCode.PLATFORM_UNAVAILABLE, Outcome.NOT_RUN)
        self.assertEqual(self.services[0].log.total, 0)

    async def test_outage_after_the_run_delays_the_record_but_not_the_response(self) -> None:
        self.services[0].fault = Fault(kind="slow", delay_s=0.3)
        first = asyncio.ensure_future(self.run_call())
        while not self.services[0].log.runs:
            await asyncio.sleep(0.01)
        self.platform.fault = Fault(kind="down")
        response = await first
        self.assertEqual(self.metrics.gauges, {"operations.unwritten": 1})
        await self.expect_rejection(ErrorCode.PLATFORM_UNAVAILABLE, Outcome.OUTCOME_UNKNOWN)
        self.platform.fault = Fault()
        await self.calls.drain()
        self.assertEqual(self.metrics.gauges, {"operations.unwritten": 0})
        self.assertEqual(await self.run_call(calls=self.build_calls()), response)

    async def test_unreachable_endpoint_is_skipped_before_any_byte_is_sent(self) -> None:
        self.services[0].stop()
        self.assertEqual((await self.run_call())["run"], 1)
        self.services[1].stop()
        await self.expect_rejection(ErrorCode.NO_ENDPOINT, Outcome.NOT_RUN, key="other")
        view = await self.calls.get_operation("acme", "other")
        self.assertEqual(view.state, OperationState.NOT_RUN)

    async def test_only_idempotent_calls_are_retried(self) -> None:
        self.services[0].fault = Fault(kind="crash", ran=True)
        await self.expect_rejection(ErrorCode.ENDPOINT_FAILED, Outcome.OUTCOME_UNKNOWN)
        self.assertEqual([s.log.total for s in self.services], [1, 0])
        self.assertEqual(self.metrics.counts, {"operations.claimed": 1, "operations.unknown": 1})
        await self.expect_rejection(ErrorCode.IN_PROGRESS, Outcome.OUTCOME_UNKNOWN)
        self.assertEqual((await self.run_call(idempotent=True))["run"], 1)
        self.assertEqual([s.log.total for s in self.services], [2, 1])

    async def test_old_rows_are_deleted_but_never_started_ones(self) -> None:
        await self.run_call(key="done")
        self.services[0].fault = Fault(kind="crash")
        await self.expect_rejection(
            ErrorCode.ENDPOINT_FAILED, Outcome.OUTCOME_UNKNOWN, key="crashed"
        )
        for row in self.platform.tables.scan("operations", ""):
            await self.store.delete_expired(row.key[:4], retention_s=0.0)
        left = [row.value["key"] for row in self.platform.tables.scan("operations", "")]
        self.assertEqual(left, ["crashed"])

    def test_invalid_idempotency_keys_are_rejected(self) -> None:
        check_key("a/b?c#d")
        for key in ("", "a b", "é", "x" * 201, "a\n"):
            with self.subTest(key=key), self.assertRaises(GuavamastError):
                check_key(key)
