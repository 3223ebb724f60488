"""Demand for the engines of a service, as one instance or all of them saw it."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceDemand:
    """Totals of the requests to one service that runs models."""

    requests: int = 0
    """Requests of callers, their own retries included."""
    prefill_tokens: float = 0.0
    """Prompt tokens of what was sent that were not expected in the engine's cache."""
    output_tokens: float = 0.0
    """Tokens that the requests were expected to generate."""
    rejected: int = 0
    """Requests that were rejected for lack of room."""
    late: int = 0
    """Requests whose first event came after their objective."""

    def __add__(self, other: ServiceDemand) -> ServiceDemand:
        return self._combine(other, lambda one, two: one + two)

    def __sub__(self, other: ServiceDemand) -> ServiceDemand:
        return self._combine(other, lambda one, two: max(0, one - two))

    def _combine(
        self, other: ServiceDemand, combine: Callable[[float, float], float]
    ) -> ServiceDemand:
        values = {
            field.name: combine(getattr(self, field.name), getattr(other, field.name))
            for field in fields(self)
        }
        return ServiceDemand(**values)  # type: ignore[arg-type]


class DemandCounter:
    """Counts the demand that reaches one instance."""

    __slots__ = ("_totals",)

    def __init__(self) -> None:
        self._totals: dict[str, ServiceDemand] = {}

    def read(self) -> dict[str, ServiceDemand]:
        """Return the totals of each service since the start."""
        return dict(self._totals)

    def record_request(self, service: str, *, output_tokens: int) -> None:
        """Record a request for an engine of a service."""
        self._add(service, ServiceDemand(requests=1, output_tokens=output_tokens))

    def record_send(self, service: str, *, prefill_tokens: float) -> None:
        """Record the prompt tokens that an engine has to prefill."""
        self._add(service, ServiceDemand(prefill_tokens=prefill_tokens))

    def record_rejection(self, service: str) -> None:
        """Record a request that was rejected for lack of room."""
        self._add(service, ServiceDemand(rejected=1))

    def record_late(self, service: str) -> None:
        """Record a first event that came after the objective."""
        self._add(service, ServiceDemand(late=1))

    def _add(self, service: str, demand: ServiceDemand) -> None:
        self._totals[service] = self._totals.get(service, ServiceDemand()) + demand
