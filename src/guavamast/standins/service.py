"""Stand-in for a plain service, which runs every call and counts the runs."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from tornado.web import Application

from guavamast.standins.listener import FaultHandler, Standin, StandinHandler

if TYPE_CHECKING:
    from typing import Any


class RunLog:
    """Counts the runs of each key, so that a second run of a key is detected."""

    __slots__ = ("runs", "total")

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.total = 0

    def record(self, key: str) -> int:
        """Count one run.

        Returns:
            The number of the run since the start, over all keys.
        """
        self.total += 1
        if key:
            self.runs[key] += 1
        return self.total


class ServiceStandin(Standin):
    """A plain service on one port.

    Faults: ``slow`` responds ``delay_s`` after the run; ``lose_answers`` closes the connection
    after the run; ``crash`` closes it before the run, or after it with ``"ran": true``.
    """

    def __init__(self) -> None:
        super().__init__()
        self.log = RunLog()

    def create_application(self) -> Application:
        """Return the application."""
        arguments = {"standin": self}
        return Application(
            [
                (r"/calls/([^/]+)", CallHandler, arguments),
                (r"/runs", RunsHandler, arguments),
                (r"/fault", FaultHandler, arguments),
            ],
            log_function=lambda _: None,
        )


class CallHandler(StandinHandler):
    """Runs calls."""

    standin: ServiceStandin

    async def post(self, call: str) -> None:
        """Run the call and respond with the number of the run and the body."""
        body = self.read_json()
        if self.standin.is_faulty("crash") and not self.standin.fault.ran:
            self.drop_connection()
            return
        run = self.standin.log.record(self.request.headers.get("Idempotency-Key", ""))
        await self.delay()
        if self.standin.is_faulty("lose_answers") or self.standin.is_faulty("crash"):
            self.drop_connection()
            return
        self._respond(call, run, body)

    def _respond(self, call: str, run: int, body: Any) -> None:
        request_id = self.request.headers.get("X-Request-Id")
        if request_id is not None:
            self.set_header("X-Request-Id", request_id)
        self.write({"call": call, "run": run, "echo": body})


class RunsHandler(StandinHandler):
    """Reports the runs."""

    standin: ServiceStandin

    def get(self) -> None:
        """Respond with the number of runs of each key."""
        self.write({"runs": dict(self.standin.log.runs)})
