"""The entry's slots, send gate and retry policy for calls of plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.errors import ErrorCode, Refusal, SendLatch
from guavamast.send_gates import SendGate
from guavamast.service_call import RetryPolicy, SlotGrant, SlotSource, SlotUnavailable
from guavamast.slot_finder import NO_ENDPOINT_RETRY_S, SlotRequirements
from guavamast.slots import Release

if TYPE_CHECKING:
    import random

    from guavamast.entry_state import EntryState
    from guavamast.fleet_objects import Endpoint
    from guavamast.retries import RetryBudget
    from guavamast.service_call import ServiceCall
    from guavamast.slot_finder import SlotFinder
    from guavamast.slot_hold import SlotHold
    from guavamast.slot_links import SlotLinks


class EntrySlotGrant(SlotGrant):
    """A slot held over the entry's stream to the endpoint's keeper."""

    def __init__(self, *, hold: SlotHold, endpoint: Endpoint, links: SlotLinks) -> None:
        self._hold = hold
        self._endpoint = endpoint
        self._links = links

    @property
    def endpoint(self) -> Endpoint:
        """Endpoint that the call is sent to."""
        return self._endpoint

    def release(self, *, used: bool, failed: bool, duration_s: float) -> None:
        """Release the slot."""
        ask = self._hold.ask
        release = Release(
            ask_id=ask.ask_id,
            endpoint=ask.endpoint,
            used=used,
            failed=failed,
            duration_s=duration_s,
        )
        self._links.release(self._hold, release)


class EntrySlotSource(SlotSource):
    """Acquires slots of service endpoints.

    Args:
        state: The entry's configuration.
        finder: Selects endpoints and requests slots from their keepers.
        links: Sends releases to keepers.
    """

    def __init__(self, *, state: EntryState, finder: SlotFinder, links: SlotLinks) -> None:
        self._state = state
        self._finder = finder
        self._links = links

    async def acquire(self, call: ServiceCall, *, excluded: frozenset[str]) -> SlotGrant:
        """Wait for a slot."""
        requirements = SlotRequirements(
            organisation=call.organisation,
            class_name=call.class_name,
            tier=call.tier,
            kind=call.rule.call,
            deadline=call.deadline,
            service=call.rule.service,
            idempotent=call.rule.idempotent,
            excluded=set(excluded),
        )
        try:
            hold = await self._finder.find(requirements, SendLatch())
        except Refusal as refusal:
            raise SlotUnavailable(
                refusal.code,
                refusal.message,
                status=refusal.status,
                retry_after_s=refusal.retry_after_s,
            ) from None
        endpoint = self._state.find_active_endpoint(hold.ask.endpoint)
        if endpoint is None:
            unused = Release(ask_id=hold.ask.ask_id, endpoint=hold.ask.endpoint, used=False)
            self._links.release(hold, unused)
            raise SlotUnavailable(
                ErrorCode.NO_ENDPOINT,
                "the endpoint is no longer active",
                status=503,
                retry_after_s=NO_ENDPOINT_RETRY_S,
            )
        return EntrySlotGrant(hold=hold, endpoint=endpoint, links=self._links)


class EntryGate(SendGate):
    """Checks the configuration in force right before a send."""

    def __init__(self, *, state: EntryState) -> None:
        self._state = state

    def is_open(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint is still configured and active at the same URL."""
        present = self._state.find_active_endpoint(endpoint.name)
        return present is not None and present.url == endpoint.url


class BudgetRetryPolicy(RetryPolicy):
    """Retry policy limited by the entry's retry budget."""

    def __init__(self, *, budget: RetryBudget, random: random.Random) -> None:
        self._budget = budget
        self._random = random

    def record_success(self, call: ServiceCall) -> None:
        """Credit the retry budget."""
        self._budget.record_success(call.class_name)

    def plan(self, call: ServiceCall, *, attempt: int, now: float) -> float | None:
        """Return the wait before the next attempt, or None when there is none."""
        retry = self._budget.plan(
            call.class_name,
            attempt=attempt,
            idempotent=call.rule.idempotent,
            deadline=call.deadline,
            now=now,
            random=self._random,
        )
        return None if retry is None else retry.delay_s
