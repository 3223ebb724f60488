"""Decides whether to relay a request, by its route, its key and the configuration's age."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.relay.catalog import compute_engine_urgency, compute_precedence

if TYPE_CHECKING:
    from guavamast.relay.catalog import CallerOrganisation, Catalog, Route
    from guavamast.relay.messages import CallerRequest
    from guavamast.relay.staleness import StalenessBounds

STALE_RETRY_S: Final = 0.3
"""Seconds after which a caller retries at an instance that waits for the store."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """A request that may go to an endpoint of its route."""

    catalog: Catalog
    """The configuration that it was admitted by."""
    route: Route
    organisation: CallerOrganisation | None

    @property
    def organisation_name(self) -> str:
        """Name of the organisation that asks; empty without one."""
        return "" if self.organisation is None else self.organisation.name

    @property
    def urgency(self) -> int:
        """Urgency sent to engines; 0 is the most urgent."""
        return compute_engine_urgency(self.route, self.organisation)

    @property
    def precedence(self) -> int:
        """Rank by which instances admit the request; 0 goes first."""
        return compute_precedence(self.route, self.organisation)


@dataclass(frozen=True, slots=True, kw_only=True)
class Denied:
    """A request that this instance rejects."""

    status: int
    reason: str
    retry_after_s: float | None = None
    attribute: str | None = None
    """The attribute in quarantine, if that is the reason."""


class CallerGate:
    """Decides on each request by the configuration and its age.

    Without an age check, an instance that is partitioned from the store would keep accepting a
    revoked key. Each request with a key is checked against the age of the configuration's newest
    freshness stamp, by a clock that counts suspended time too.

    A request gets 404 or 401 only by a configuration that is within its bound, as a caller does not
    retry after such a response.

    Args:
        bounds: Maximum ages of the tables.
    """

    __slots__ = ("_bounds",)

    def __init__(self, *, bounds: StalenessBounds) -> None:
        self._bounds = bounds

    def decide(
        self, request: CallerRequest, catalog: Catalog | None, *, age_s: float
    ) -> Admitted | Denied:
        """Return the admission of a request, or its rejection.

        Args:
            request: The request.
            catalog: The configuration; None before the first read.
            age_s: Seconds since the configuration was known to be the newest.
        """
        if catalog is None:
            return reject_for_retry("no configuration yet")
        recent = age_s <= self._bounds.catalog_s
        route = catalog.find_route(request.host, request.path)
        if route is None:
            return (
                Denied(status=404, reason="no route") if recent else reject_for_retry("old routes")
            )
        if not route.needs_key or catalog.organisations is None:
            return Admitted(catalog=catalog, route=route, organisation=None)
        if age_s > self._bounds.keys_s:
            return reject_for_retry("old keys")
        organisation = catalog.find_organisation(request.api_key)
        if organisation is None:
            return (
                Denied(status=401, reason="unknown key") if recent else reject_for_retry("old keys")
            )
        return Admitted(catalog=catalog, route=route, organisation=organisation)


def reject_for_retry(reason: str) -> Denied:
    """Return a 503 rejection with a retry delay, as this instance has no fresh tables."""
    return Denied(status=503, reason=reason, retry_after_s=STALE_RETRY_S)
