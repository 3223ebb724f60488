"""Tests of orders to a stand-in engine whose endpoint a real keeper host serves."""

from __future__ import annotations

import unittest

from guavamast import peer_pb2
from guavamast._slot_wire import encode_ask, encode_release
from guavamast.clocks import SystemClock
from guavamast.fleet import parse_configuration
from guavamast.fleet_objects import FailureDomain, Instance
from guavamast.hosted_endpoints import HostedEndpoints
from guavamast.keeper_host import KeeperHost
from guavamast.leases import LeaseHolder, LeaseParameters, PlatformLeaseTable
from guavamast.members import Member, MembershipView, MemberState
from guavamast.metrics import NoMetrics
from guavamast.order_http import HttpOrderSender
from guavamast.order_issuer import OrderIssuer
from guavamast.order_loop import OrderLoop
from guavamast.slots import Ask, LoadReport, Release
from guavamast.standins.engine import EngineStandin
from tests.fake_platform import FakePlatform
from tests.order_simulation import ENGINE, FLEET

NOW = 100.0


def build_view(*names: str) -> MembershipView:
    """Return a view of live members."""
    domain = FailureDomain(name="d", region="r")
    members = [
        Member(
            instance=Instance(name=name, failure_domain=domain, caller_address="", peer_address=""),
            incarnation=1,
            state=MemberState.LIVE,
            heartbeat=0,
            configuration_version=1,
        )
        for name in names
    ]
    return MembershipView(members=tuple(members))


class HostedEndpointsTest(unittest.IsolatedAsyncioTestCase):
    """An engine is drained, loaded and put back into use while callers ask for slots."""

    async def asyncSetUp(self) -> None:
        self.engine = EngineStandin(models={})
        self.engine.start()
        self.addCleanup(self.engine.stop)
        text = FLEET.format(key="a" * 64, version="2")
        text += ENGINE.format(number=0, port=1, fencing="checked")
        text = text.replace("http://127.0.0.1:1\n", f"{self.engine.url}\n")
        self.fleet = parse_configuration(text, file="f", version=1)
        self.host = KeeperHost(clock=lambda: NOW, metrics=NoMetrics())
        self.host.configure(self.fleet)
        self.stream = self.host.connect("entry")
        self.view = build_view("a")
        self.kept = HostedEndpoints(
            instance="a",
            host=self.host,
            get_configuration=lambda: self.fleet,
            get_view=lambda: self.view,
        )
        self.loop = self.build_loop()

    def build_loop(self) -> OrderLoop:
        """Return the order loop on an in-memory platform."""
        platform, clock, parameters = FakePlatform(), SystemClock(), LeaseParameters()
        leases = LeaseHolder(
            table=PlatformLeaseTable(platform=platform),
            read_time=clock.read_monotonic,
            holder="a",
            generate_nonce=lambda: "n",
            parameters=parameters,
        )
        issuer = OrderIssuer(
            platform=platform,
            leases=leases,
            sender=HttpOrderSender(),
            clock=clock,
            parameters=parameters,
        )
        return OrderLoop(issuer=issuer, kept=self.kept, clock=clock)

    def ask(self, ask_id: str) -> str:
        """Request a slot and return the kind of the last response."""
        ask = Ask(
            ask_id=ask_id,
            entry="entry",
            endpoint="e0",
            organisation="a",
            class_name="chat",
            tier=1,
            kind="chat",
            model="m",
            prompt_tokens=1,
            max_tokens=1,
            deadline=NOW + 30.0,
        )
        self.host.receive(peer_pb2.EntryMessage(ask=encode_ask(ask, now=NOW)), entry="entry")
        # A new keeper grants nothing until it has a load report of its endpoint.
        self.host.record_load(LoadReport(endpoint="e0", as_of=NOW, running=0, kv_free=1.0))
        kinds = []
        while not self.stream.outbox.empty():
            kinds.append(self.stream.outbox.get_nowait().WhichOneof("body"))
        return [kind for kind in kinds if kind != "probe"][-1]

    async def test_running_work_ends_before_the_order(self) -> None:
        self.assertEqual(self.ask("r1"), "grant")
        await self.loop.run_round()
        self.assertEqual(self.ask("r2"), "refuse")
        self.host.configure(self.fleet)
        self.assertEqual(self.ask("r3"), "refuse", "a hold outlasts a new configuration")
        await self.loop.run_round()
        self.assertEqual(self.engine.state.orders, [])
        self.host.receive(
            encode_release(Release(ask_id="r1", endpoint="e0", used=True)), entry="entry"
        )
        await self.loop.run_round()
        self.assertEqual(self.engine.state.models, {"m": "2"})
        await self.loop.run_round()
        self.assertEqual(self.ask("r4"), "grant")
        self.assertEqual(len(self.engine.state.orders), 1)

    async def test_lists_the_endpoints_kept_by_the_membership_view(self) -> None:
        self.assertEqual([item.name for item in self.kept.list_kept()], ["e0"])
        self.view = build_view("b")
        self.assertEqual(self.kept.list_kept(), [])
        self.view = build_view("a", "b", "c", "d")
        kept = {
            name: HostedEndpoints(
                instance=name,
                host=self.host,
                get_configuration=lambda: self.fleet,
                get_view=lambda: self.view,
            ).list_kept()
            for name in "abcd"
        }
        self.assertEqual(sum(len(endpoints) for endpoints in kept.values()), 1)
