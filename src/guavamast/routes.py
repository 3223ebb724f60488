"""Routes of an entry's HTTP listener."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from tornado.web import Application

from guavamast.callers import UnknownPathHandler
from guavamast.chat_handlers import ChatHandler
from guavamast.fleet_handlers import (
    AddressesHandler,
    HealthHandler,
    ModelsHandler,
    ReadyHandler,
)

if TYPE_CHECKING:
    from guavamast.callers import CallerServices


def build_caller_routes(services: CallerServices) -> list[tuple[str, type, dict[str, Any]]]:
    """Return the callers' routes for chats, addresses, models and health."""
    arguments = {"services": services}
    return [
        ("/v1/chat/completions", ChatHandler, arguments),
        ("/v1/addresses", AddressesHandler, arguments),
        ("/v1/models", ModelsHandler, arguments),
        ("/healthz", HealthHandler, arguments),
        ("/readyz", ReadyHandler, arguments),
    ]


def build_application(routes: list[Any], services: CallerServices) -> Application:
    """Return an application with these routes; unknown paths get an error with a code."""
    return Application(
        routes,
        default_handler_class=UnknownPathHandler,
        default_handler_args={"services": services},
        log_function=lambda _: None,
    )
