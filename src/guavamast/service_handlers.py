"""HTTP handlers for calls of plain services and for their recorded operations."""

from __future__ import annotations

import base64
import json
from functools import partial
from typing import TYPE_CHECKING, Any

from guavamast.caller_input import (
    MAX_IDEMPOTENCY_KEY_LENGTH,
    parse_label,
    reject_input,
)
from guavamast.callers import CallerHandler
from guavamast.errors import ErrorCode, SendLatch
from guavamast.fleet_objects import CallRule, EndpointKind
from guavamast.service_call import ServiceCall

if TYPE_CHECKING:
    from guavamast.callers import CallerServices
    from guavamast.fleet_objects import Configuration
    from guavamast.operations import Response
    from guavamast.service_calls import OperationView, ServiceCalls

DEFAULT_CALL_TIMEOUT_S = 30.0
"""Timeout of a call that no ``[call]`` section names."""


def find_rule(configuration: Configuration, service: str, call: str) -> CallRule:
    """Return the rule of a call; without a ``[call]`` section it counts as non-idempotent."""
    rule = configuration.calls.get((service, call))
    return rule or CallRule(
        service=service, call=call, idempotent=False, timeout_s=DEFAULT_CALL_TIMEOUT_S
    )


class ServiceCallHandler(CallerHandler):
    """``POST /v1/services/{service}/{call}``."""

    def initialize(self, services: CallerServices, calls: ServiceCalls) -> None:  # type: ignore[override]
        """Store the entry's services."""
        super().initialize(services)
        self.calls = calls

    async def post(self, service: str, call: str) -> None:
        """Run a call and relay its response."""
        self.read_request_id()
        organisation = self.authenticate_caller()
        rule = find_rule(self.services.state.configuration, service, call)
        self._require_service(service)
        kind = self.request.headers.get("X-Request-Kind", call)
        service_class = self.look_up_class(organisation, kind)
        request = ServiceCall(
            request_id=self.request_id,
            organisation=organisation.name,
            rule=rule,
            body=self.read_body(),
            content_type=self.request.headers.get("Content-Type", "application/json"),
            idempotency_key=self._read_idempotency_key(rule),
            class_name=service_class.name,
            tier=service_class.tier,
            deadline=self.compute_deadline(service_class),
        )
        await self.run(partial(self._serve, request), organisation)

    async def _serve(self, request: ServiceCall) -> None:
        response = await self.calls.run(request)
        self.set_header("X-Request-Id", self.request_id)
        write_response(self, response)

    def _require_service(self, service: str) -> None:
        endpoints = self.services.state.configuration.endpoints.values()
        known = {item.service for item in endpoints if item.kind is EndpointKind.SERVICE}
        if service not in known:
            raise SendLatch().reject(
                ErrorCode.UNKNOWN_SERVICE, f"unknown service {service!r}", status=404
            )

    def _read_idempotency_key(self, rule: CallRule) -> str:
        header = self.request.headers.get("Idempotency-Key", "")
        key = parse_label(header, name="Idempotency-Key", max_length=MAX_IDEMPOTENCY_KEY_LENGTH)
        if not key and not rule.idempotent:
            raise reject_input(
                "a non-idempotent call requires an Idempotency-Key header",
                ErrorCode.IDEMPOTENCY_KEY_MISSING,
            )
        return key


class OperationHandler(CallerHandler):
    """``GET /v1/operations/{key}``."""

    def initialize(self, services: CallerServices, calls: ServiceCalls) -> None:  # type: ignore[override]
        """Store the entry's services."""
        super().initialize(services)
        self.calls = calls

    async def get(self, key: str) -> None:
        """Return the state of a non-idempotent call of this organisation."""
        self.read_request_id()
        organisation = self.authenticate_caller()
        parse_label(key, name="the key", max_length=MAX_IDEMPOTENCY_KEY_LENGTH)
        view = await self.calls.get_operation(organisation.name, key)
        self.finish(encode_view(key, view))


def write_response(handler: CallerHandler, response: Response) -> None:
    """Write an endpoint's response to the caller."""
    handler.set_status(response.status)
    handler.set_header("Content-Type", response.content_type)
    handler.finish(response.body)


def encode_view(key: str, view: OperationView) -> dict[str, Any]:
    """Return the response body for an operation's state."""
    body: dict[str, Any] = {
        "key": key,
        "state": view.state,
        "started_at": view.started_at,
        "ended_at": view.ended_at,
    }
    if view.response is not None:
        body["answer"] = _encode_response(view.response)
    return body


def _encode_response(response: Response) -> dict[str, Any]:
    fields: dict[str, Any] = {"status": response.status, "content_type": response.content_type}
    try:
        fields["body"] = json.loads(response.body)
    except ValueError:
        fields["body_base64"] = base64.b64encode(response.body).decode()
    return fields


def build_service_routes(
    services: CallerServices, calls: ServiceCalls
) -> list[tuple[str, type, dict[str, Any]]]:
    """Return the routes of this module."""
    arguments = {"services": services, "calls": calls}
    return [
        ("/v1/services/([^/]+)/([^/]+)", ServiceCallHandler, arguments),
        ("/v1/operations/([^/]+)", OperationHandler, arguments),
    ]
