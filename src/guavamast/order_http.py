"""Orders to engines over HTTP."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

from tornado.httpclient import HTTPRequest

from guavamast.at_most_once_fetch import AnswerLost, NotSent, fetch_once
from guavamast.orders import EndpointReport, OrderOutcome, OrderSender

if TYPE_CHECKING:
    from guavamast.fleet_objects import Endpoint
    from guavamast.orders import Order

ORDER_TIMEOUT_S: Final = 5.0
"""Longest wait for a response; shorter than a lease's margin, in which no order is sent."""
_REJECTED_STATUSES: Final = (400, 404, 405, 422, 429, 503)
"""Statuses of an engine that did not start the order."""


class HttpOrderSender(OrderSender):
    """Sends orders to ``/orders`` of an engine and reads the models that it runs there."""

    async def send(self, endpoint: Endpoint, order: Order) -> OrderOutcome:
        """Send an order at most once."""
        body = {"fencing": order.fencing, "model": order.model, "version": order.version}
        request = build_request(endpoint, method="POST", body=json.dumps(body).encode())
        try:
            response = await fetch_once(request)
        except NotSent:
            return OrderOutcome.NOT_SENT
        except AnswerLost:
            return OrderOutcome.UNKNOWN
        if response.code == 409:
            return OrderOutcome.OLD_FENCING
        if response.code in _REJECTED_STATUSES:
            return OrderOutcome.LIMITED
        return OrderOutcome.TAKEN if response.code < 300 else OrderOutcome.UNKNOWN

    async def read_report(self, endpoint: Endpoint) -> EndpointReport | None:
        """Return what the engine runs, or None when it gives no complete response."""
        try:
            response = await fetch_once(build_request(endpoint, method="GET", body=None))
            models = json.loads(response.body)["models"] if response.code == 200 else None
        except (NotSent, AnswerLost, ValueError, KeyError, TypeError):
            return None
        if not isinstance(models, dict):
            return None
        return EndpointReport(models={str(name): str(value) for name, value in models.items()})


def build_request(endpoint: Endpoint, *, method: str, body: bytes | None) -> HTTPRequest:
    """Return a request to ``/orders`` of an engine."""
    return HTTPRequest(
        f"{endpoint.url}/orders",
        method=method,
        body=body,
        connect_timeout=ORDER_TIMEOUT_S,
        request_timeout=ORDER_TIMEOUT_S,
    )
