"""Tests of orders to an engine over real sockets."""

from __future__ import annotations

import unittest

from guavamast.fleet_objects import Endpoint, EndpointKind
from guavamast.order_http import HttpOrderSender
from guavamast.orders import EndpointReport, Order, OrderOutcome
from guavamast.standins.engine import EngineStandin


def build_order(fencing: int, version: str) -> Order:
    """Return an order."""
    return Order(endpoint="e", fencing=fencing, model="m", version=version)


class OrderHttpTest(unittest.IsolatedAsyncioTestCase):
    """Each response of an engine, and a missing one, maps to its outcome."""

    async def test_outcomes(self) -> None:
        sender = HttpOrderSender()
        for checks, outcome, version in (
            (True, OrderOutcome.OLD_FENCING, "2"),
            (False, OrderOutcome.TAKEN, "1"),
        ):
            engine = EngineStandin(models={}, checks_fencing=checks)
            engine.start()
            endpoint = Endpoint(
                name="e", kind=EndpointKind.ENGINE, url=engine.url, failure_domain="d", slots=1
            )
            self.assertEqual(await sender.send(endpoint, build_order(5, "2")), OrderOutcome.TAKEN)
            self.assertEqual(await sender.send(endpoint, build_order(4, "1")), outcome)
            report = await sender.read_report(endpoint)
            self.assertEqual(report, EndpointReport(models={"m": version}))
            engine.stop()
            self.assertEqual(
                await sender.send(endpoint, build_order(6, "3")), OrderOutcome.NOT_SENT
            )
            self.assertIsNone(await sender.read_report(endpoint))
