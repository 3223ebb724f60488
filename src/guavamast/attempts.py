"""One attempt to run a call at the endpoint of a granted slot."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavamast.endpoint_sender import EndpointCall
from guavamast.errors import ErrorCode, GuavamastError
from guavamast.send_gates import find_obstacle

if TYPE_CHECKING:
    from guavamast.clocks import Clock
    from guavamast.endpoint_sender import EndpointSender
    from guavamast.errors import SendLatch
    from guavamast.fleet_objects import Endpoint
    from guavamast.operations import Response
    from guavamast.send_gates import PauseDetector, SendGate
    from guavamast.service_call import ServiceCall, SlotGrant


class Obstructed(GuavamastError):
    """The last check before the send failed: no byte of this attempt was sent."""


@dataclass(slots=True, kw_only=True)
class StopFlag:
    """Flag set once the caller has its response; nothing may be sent for it after that."""

    is_set: bool = False


class AttemptRunner:
    """Sends a call after a last check and releases the slot.

    Args:
        sender: Sends to endpoints.
        gate: Tells whether the configuration allows the send.
        pauses: Tells whether this process was paused.
        clock: Source of the present time.
    """

    __slots__ = ("_clock", "_gate", "_pauses", "_sender")

    def __init__(
        self, *, sender: EndpointSender, gate: SendGate, pauses: PauseDetector, clock: Clock
    ) -> None:
        self._sender = sender
        self._gate = gate
        self._pauses = pauses
        self._clock = clock

    def check(self, call: ServiceCall, endpoint: Endpoint) -> None:
        """Raise `Obstructed` when the call may not be sent to the endpoint now."""
        now = self._clock.read_monotonic()
        obstacle = find_obstacle(
            endpoint, deadline=call.deadline, gate=self._gate, pauses=self._pauses, now=now
        )
        if obstacle is not None:
            raise Obstructed(obstacle, "the deadline or the configuration forbids the send")

    async def send(
        self,
        call: ServiceCall,
        grant: SlotGrant,
        latch: SendLatch,
        stop: StopFlag,
        *,
        timeout_s: float,
    ) -> Response:
        """Send a call to the grant's endpoint and release the grant.

        Failure: a process is paused between its checks and the send for longer than any timeout,
        and sends to an endpoint that has left, or for a caller that was told ``not_run``. So the
        last check runs after the connect, in the same event-loop step as the first write. A pause
        after it only delays bytes that the latch already counts as sent.

        Raises:
            Obstructed: The last check failed.
            NotSent: No connection was made.
            AnswerLost: The call may have run, and no whole response arrived.
        """
        started = self._clock.read_monotonic()
        wrote = False
        answered = False

        def check_and_mark() -> None:
            nonlocal wrote
            if stop.is_set:
                raise Obstructed(ErrorCode.DEADLINE_EXCEEDED, "the caller already has a response")
            self.check(call, grant.endpoint)
            latch.mark_sent()
            wrote = True

        try:
            request = make_endpoint_call(call, grant.endpoint, timeout_s=timeout_s)
            response = await self._sender.send(request, before_write=check_and_mark)
            answered = True
            return response
        finally:
            duration_s = self._clock.read_monotonic() - started
            grant.release(used=wrote, failed=not answered, duration_s=duration_s)


def make_endpoint_call(call: ServiceCall, endpoint: Endpoint, *, timeout_s: float) -> EndpointCall:
    """Return the call to send to an endpoint for a caller's request."""
    return EndpointCall(
        url=endpoint.url,
        call=call.rule.call,
        body=call.body,
        content_type=call.content_type,
        request_id=call.request_id,
        idempotency_key=call.idempotency_key,
        timeout_s=timeout_s,
    )
