"""Tests that requests are sent by fresh tables only, even if updates are lost or reads are slow."""

from __future__ import annotations

import asyncio
import os
import unittest
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from guavamast.relay.attempt_failure import AttemptFailed, FailureKind
from guavamast.relay.caller_admission import MAX_READ_WAIT_S, CallerAdmission
from guavamast.relay.caller_gate import Admitted, CallerGate, Denied
from guavamast.relay.catalog import WeightedService
from guavamast.relay.counters import Counters
from guavamast.relay.decision_log import DecisionLog
from guavamast.relay.endpoint_table import compute_digest
from guavamast.relay.fleet_state import FleetState
from guavamast.relay.freshness import StoreClock
from guavamast.relay.peers import Peers
from guavamast.relay.store import (
    CatalogSnapshot,
    EndpointSnapshot,
    Store,
    StoreError,
)
from guavamast.relay.store_reader import StoreReader
from guavamast.relay.stream_binding import SoftwareVersions
from tests.relay_fixtures import BOUNDS, build_catalog, build_endpoint, build_request, build_route

if TYPE_CHECKING:
    from collections.abc import Sequence

    from guavamast.relay.catalog import Catalog, Route
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.store import BindingRow, InstanceRecord, QuarantineRow

START_S = 100.0


class AdmissionSimulation(Store):
    """A simulated store and clock, with one instance that receives no updates from others."""

    def __init__(self) -> None:
        self.now = START_S
        self.unavailable = False
        self.read_s = 0.004
        """Seconds from the store's clock reading until the response arrives."""
        self.reads = 0
        self.catalog = build_catalog()
        self.records = [build_endpoint("x"), build_endpoint("y")]
        self._clock = StoreClock()
        peers = Peers(own_name="one")
        self.fleet_state = FleetState(failure_domain="a", peers=peers, clock=self._clock)
        counters = Counters()
        self.reader = StoreReader(
            store=self,
            fleet_state=self.fleet_state,
            log=DecisionLog(instance="one", descriptor=os.open(os.devnull, os.O_WRONLY)),
            counters=counters,
            read_time=lambda: self.now,
            send_heartbeat=lambda: None,
            publish_catalog=lambda _: None,
            publish_endpoints=lambda _: None,
        )
        self.admission = CallerAdmission(
            gate=CallerGate(bounds=BOUNDS),
            bounds=BOUNDS,
            fleet_state=self.fleet_state,
            reader=self.reader,
            read_time=lambda: self.now,
        )
        self.versions = SoftwareVersions(
            fleet_state=self.fleet_state,
            read_endpoints=self.reader.endpoints.join,
            read_time=lambda: self.now,
        )

    def decode_catalog(self, text: bytes, *, row_version: int) -> Catalog:
        del text, row_version
        raise StoreError("no updates in this test")

    async def read_quarantine(self) -> list[QuarantineRow]:
        return []

    async def read_evidence(self) -> list[bytes]:
        return []

    async def write_evidence(self, report: bytes | None, *, rank: int) -> None:
        del report, rank

    async def write_quarantine(self, row: QuarantineRow) -> bool:
        del row
        raise StoreError("no quarantines in this test")

    async def remove_quarantine(self, attribute: str) -> None:
        del attribute

    async def read_bindings(self, *, shard: int | None) -> list[BindingRow]:
        del shard
        return []

    async def write_bindings(self, rows: Sequence[BindingRow]) -> int:
        del rows
        return 0

    async def read_catalog(self, *, known: Catalog | None) -> CatalogSnapshot:
        catalog = self.catalog
        if known is not None and known.row_version == catalog.row_version:
            catalog = known
        return CatalogSnapshot(catalog=catalog, store_time=await self._answer())

    async def read_endpoints(self) -> EndpointSnapshot:
        records = list(self.records)
        digest = compute_digest((one.endpoint_id, one.row_version) for one in records)
        return EndpointSnapshot(records=records, digest=digest, store_time=await self._answer())

    async def read_instances(self) -> list[InstanceRecord]:
        return []

    async def register_instance(self, record: InstanceRecord) -> None:
        del record

    async def remove_instance(self, name: str) -> None:
        del name

    def move_route(self) -> None:
        services = (WeightedService(service="annex", weight=1.0),)
        self.replace_routes(build_route(services=services))

    def replace_routes(self, *routes: Route) -> None:
        self.catalog = build_catalog(*routes, row_version=self.catalog.row_version + 1)

    def change_endpoints(self, *records: EndpointRecord) -> None:
        self.records = list(records)

    async def admit(self, timeout_s: float = 1.5) -> Admitted | Denied:
        request = build_request(received_at=self.now, timeout_s=timeout_s)
        return await self.admission.admit(request, until=self.now + timeout_s)

    async def _answer(self) -> float:
        self.reads += 1
        await asyncio.sleep(0)
        if self.unavailable:
            raise StoreError("silent")
        store_time = self.now
        self._clock.record(sent=self.now, store_time=store_time)
        self.now += self.read_s
        return store_time


def list_services(decision: Admitted | Denied) -> Sequence[str]:
    """Return the services that an admitted request may be sent to."""
    assert isinstance(decision, Admitted)
    return [entry.service for entry in decision.route.services]


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    """Admission at an instance that receives no updates."""

    async def asyncSetUp(self) -> None:
        self.simulation = AdmissionSimulation()
        await self.simulation.admit()

    async def test_old_knowledge_is_read_again_before_a_request_goes(self) -> None:
        """A request follows a moved route although all updates are lost and the watch is delayed.

        It finds the configuration older than the bound and waits for a read.
        """
        self.simulation.move_route()
        self.simulation.now += 1.7
        self.assertEqual(list_services(await self.simulation.admit()), ["annex"])

    async def test_recent_knowledge_is_used_without_a_read(self) -> None:
        reads = self.simulation.reads
        self.simulation.now += 1.5
        await self.simulation.admit()
        self.assertEqual(self.simulation.reads, reads)

    async def test_many_requests_share_one_read_of_each_table(self) -> None:
        reads = self.simulation.reads
        self.simulation.now += 1.7
        await asyncio.gather(*(self.simulation.admit() for _ in range(50)))
        self.assertEqual(self.simulation.reads - reads, 2)

    async def test_stale_state_is_used_while_the_store_is_unavailable(self) -> None:
        self.simulation.unavailable = True
        self.simulation.now += 3.0
        self.assertEqual(list_services(await self.simulation.admit()), ["portal"])
        reads = self.simulation.reads
        await self.simulation.admit()
        self.assertEqual(self.simulation.reads, reads)

    async def test_keys_are_rejected_during_a_long_store_outage(self) -> None:
        self.simulation.unavailable = True
        self.simulation.now += 4.4
        decision = await self.simulation.admit()
        assert isinstance(decision, Denied)
        self.assertEqual((decision.status, decision.reason), (503, "old keys"))

    async def test_a_slow_instance_rejects_its_callers(self) -> None:
        """An instance that can't keep up rejects its callers with a retry delay.

        The store answers at once, but the instance processes each response so late that the tables
        are older than the bound again. No request may be sent by them.
        """
        self.simulation.read_s = 1.7
        self.simulation.move_route()
        self.simulation.now += 1.7
        decision = await self.simulation.admit()
        assert isinstance(decision, Denied)
        self.assertEqual((decision.status, decision.reason), (503, "old knowledge"))
        self.assertIsNotNone(decision.retry_after_s)

    async def test_a_silent_read_holds_a_request_no_longer_than_the_bound(self) -> None:
        self.simulation.now += 1.7
        decision = await asyncio.wait_for(self.simulation.admit(timeout_s=0.0), MAX_READ_WAIT_S)
        self.assertIsInstance(decision, Denied)


class CheckSendTest(unittest.IsolatedAsyncioTestCase):
    """Checks after the connection is open, right before a request is sent."""

    async def asyncSetUp(self) -> None:
        self.simulation = AdmissionSimulation()
        decision = await self.simulation.admit()
        assert isinstance(decision, Admitted)
        self.admitted = decision

    def check(self, name: str = "x") -> str:
        """Return why the request must not be sent; empty if it may be."""
        record = build_endpoint(name)
        try:
            self.simulation.admission.check_send(self.admitted, record, now=self.simulation.now)
        except AttemptFailed as failure:
            self.assertEqual(failure.kind, FailureKind.OUTDATED)
            self.assertTrue(failure.not_run)
            return failure.detail
        return ""

    async def test_nothing_has_changed(self) -> None:
        self.simulation.now += 1.5
        self.assertEqual(self.check(), "")

    async def test_a_pause_between_choice_and_send_is_seen(self) -> None:
        """A request is not sent after a pause that makes the tables too old.

        It was admitted by fresh tables, but opening a connection took long or the process was
        paused, and the bound has passed by the time of the send.
        """
        self.simulation.now += 1.7
        self.assertEqual(self.check(), "old knowledge")

    async def test_a_changed_route_is_seen(self) -> None:
        self.simulation.move_route()
        await self.simulation.reader.catalog.join()
        self.assertEqual(self.check(), "the configuration has changed")

    async def test_an_endpoint_that_leaves_is_seen(self) -> None:
        gone = [build_endpoint("y")]
        leaving = [build_endpoint("x", ready=False, row_version=9), build_endpoint("y")]
        for records in (gone, leaving):
            self.simulation.change_endpoints(*records)
            await self.simulation.reader.endpoints.join()
            self.assertEqual(self.check("x"), "the endpoint leaves")
            self.assertEqual(self.check("y"), "")

    async def test_keys_are_checked_again_while_the_store_is_away(self) -> None:
        self.simulation.unavailable = True
        self.simulation.now += 4.2
        await self.simulation.admit()
        self.assertEqual(self.check(), "")
        self.simulation.now += 0.2
        self.assertEqual(self.check(), "old keys")


class BoundTest(unittest.TestCase):
    """With any pauses and slow reads, requests are sent within the bounds only."""

    @given(
        steps=st.lists(
            st.tuples(
                st.floats(min_value=0.0, max_value=4.0),
                st.floats(min_value=0.0, max_value=3.0),
                st.booleans(),
            ),
            min_size=1,
            max_size=8,
        )
    )
    def test_nothing_is_sent_by_a_version_that_ended_too_long_ago(
        self, steps: list[tuple[float, float, bool]]
    ) -> None:
        asyncio.run(self.simulate(steps))

    async def simulate(self, steps: list[tuple[float, float, bool]]) -> None:
        simulation = AdmissionSimulation()
        ended: dict[int, float] = {}
        for pause_s, read_s, moves in steps:
            if moves:
                ended[simulation.catalog.row_version] = simulation.now
                simulation.move_route()
            simulation.now += pause_s
            simulation.read_s = read_s
            asked = simulation.now
            decision = await simulation.admit()
            if isinstance(decision, Denied):
                continue
            try:
                simulation.admission.check_send(decision, build_endpoint("x"), now=simulation.now)
            except AttemptFailed:
                continue
            self.assertLess(asked - ended.get(decision.catalog.row_version, asked), 2.0)


if __name__ == "__main__":
    unittest.main()
