"""Base of the HTTP stand-ins: a listener on loopback and the base of their handlers."""

from __future__ import annotations

import asyncio
import json
import time
from abc import ABC, abstractmethod
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, HTTPError, RequestHandler

from guavamast.standins.faults import Fault, parse_fault


class Standin(ABC):
    """An HTTP server on loopback with a configurable fault."""

    def __init__(self) -> None:
        self.fault = Fault()
        self.url = ""
        self._server: HTTPServer | None = None

    @abstractmethod
    def create_application(self) -> Application:
        """Return the application."""

    def start(self, port: int = 0) -> None:
        """Listen on loopback on the running loop and set ``url``; port 0 lets the OS choose."""
        sockets = bind_sockets(port, "127.0.0.1")
        self._server = HTTPServer(self.create_application())
        self._server.add_sockets(sockets)
        self.url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.stop()
            self._server = None

    def is_faulty(self, kind: str) -> bool:
        """Return whether that fault is active."""
        return self.fault.is_active(kind, now=time.monotonic())


class StandinHandler(RequestHandler):
    """Base of the handlers: reads JSON, applies delays and closes connections."""

    standin: Standin

    def initialize(self, standin: Any) -> None:
        """Set the stand-in."""
        self.standin = standin

    def read_json(self) -> Any:
        """Return the request's JSON; respond with 400 if it is invalid."""
        try:
            return json.loads(self.request.body or b"{}")
        except ValueError as error:
            raise HTTPError(400) from error

    def drop_connection(self) -> None:
        """Close the connection without a response."""
        self._finished = True
        self.request.connection.detach().close()

    async def delay(self) -> None:
        """Wait while the ``slow`` fault is active."""
        if self.standin.is_faulty("slow"):
            await asyncio.sleep(self.standin.fault.delay_s)


class FaultHandler(StandinHandler):
    """Sets the fault."""

    def post(self) -> None:
        """Set the fault; kind ``none`` ends it."""
        self.standin.fault = parse_fault(self.read_json(), now=time.monotonic())
        self.write({"kind": self.standin.fault.kind})
