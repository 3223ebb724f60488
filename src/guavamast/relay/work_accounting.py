"""Counts what this instance sends to endpoints as work there, and tells others of it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.endpoint_load import EndpointLoads, Work
    from guavamast.relay.messages import CallerRequest
    from guavamast.relay.placement import Choice, PromptCache
    from guavamast.relay.request_progress import RequestProgress
    from guavamast.relay.scaling import DemandCounter


class PublishLoad(Protocol):
    """Reports that this instance's work at an endpoint has changed."""

    def __call__(self, endpoint_id: str, *, increased: bool) -> None:
        """Report an endpoint and whether its work has grown."""


class WorkAccounting:
    """Counts requests at their endpoints from the moment in which they are placed.

    Args:
        loads: Work at endpoints; each send is counted in it.
        cache: Prompts in the endpoints' KV caches; each send is recorded in it.
        demand: Counts the prompt tokens to prefill; None if no engines are ordered.
        publish: Called when this instance's work at an endpoint has changed.
        read_time: Reads the local clock.
    """

    __slots__ = ("_cache", "_demand", "_loads", "_publish", "_read_time")

    def __init__(
        self,
        *,
        loads: EndpointLoads,
        cache: PromptCache,
        demand: DemandCounter | None,
        publish: PublishLoad,
        read_time: Callable[[], float],
    ) -> None:
        self._loads = loads
        self._cache = cache
        self._demand = demand
        self._publish = publish
        self._read_time = read_time

    def begin(self, request: CallerRequest, progress: RequestProgress, choice: Choice) -> Work:
        """Count a request at its endpoint, and its prompt as being in the endpoint's KV cache."""
        endpoint_id = choice.record.endpoint_id
        if request.shared_part is not None:
            now = self._read_time()
            self._cache.record(endpoint_id, request.shared_part, choice.uncached_tokens, now=now)
        if self._demand is not None and request.prompt_tokens:
            self._demand.record_send(choice.record.service, prefill_tokens=choice.uncached_tokens)
        work = self._loads.begin(
            endpoint_id,
            prefill_tokens=choice.uncached_tokens,
            kv_tokens=request.prompt_tokens + request.output_tokens,
            # Outside its own length bucket, among long prompts, the stream is late anyway, so long
            # prompts need not avoid the engine because of it.
            pause_sensitive=progress.pause_sensitive and choice.own_bucket,
        )
        self._publish(endpoint_id, increased=True)
        return work

    def publish_decrease(self, endpoint_id: str) -> None:
        """Report that the work at an endpoint has become less."""
        self._publish(endpoint_id, increased=False)
