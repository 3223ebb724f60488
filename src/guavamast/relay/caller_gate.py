"""Whether a request may be relayed: its route, its key, and how fresh the configuration is."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.catalog import CallerOrganisation, Catalog, Route
    from guavamast.relay.messages import CallerRequest
    from guavamast.relay.staleness import StalenessBounds

STALE_RETRY_S: Final = 0.3
"""Seconds until a caller comes back to an instance that waits for the store."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """A request that may go to an endpoint of its route."""

    catalog: Catalog
    """The configuration by which it was admitted."""
    route: Route
    organisation: CallerOrganisation | None
    urgency: int
    """What engines are told, 0 for what they should serve first."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Denied:
    """A request that is answered here."""

    status: int
    reason: str
    retry_after_s: float | None = None


class CallerGate:
    """Decides on each request by the configuration and its age.

    Failure: an instance is cut off from the store, an operator takes a key away, and the instance
    goes on accepting it. Each request with a key is checked against the age of the last proof that
    the configuration is the newest, by a clock that counts suspended time too.

    A request is called unknown or unauthorised only by a configuration that is within its bound, as
    a caller does not ask again after such an answer.

    Args:
        bounds: The greatest ages of what is known.
    """

    __slots__ = ("_bounds",)

    def __init__(self, *, bounds: StalenessBounds) -> None:
        self._bounds = bounds

    def decide(
        self, request: CallerRequest, catalog: Catalog | None, *, age_s: float
    ) -> Admitted | Denied:
        """Return where the request may go, or its answer.

        Args:
            request: The request.
            catalog: The configuration; None before the first.
            age_s: Seconds since the configuration was proved to be the newest.
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
            return _admit(catalog, route, None)
        if age_s > self._bounds.keys_s:
            return reject_for_retry("old keys")
        organisation = catalog.find_organisation(request.api_key)
        if organisation is None:
            return (
                Denied(status=401, reason="unknown key") if recent else reject_for_retry("old keys")
            )
        return _admit(catalog, route, organisation)


def _admit(catalog: Catalog, route: Route, organisation: CallerOrganisation | None) -> Admitted:
    urgency = catalog.find_urgency(route, organisation)
    return Admitted(catalog=catalog, route=route, organisation=organisation, urgency=urgency)


def reject_for_retry(reason: str) -> Denied:
    """Return the answer to a request that is to come back, as nothing sure is known here now."""
    return Denied(status=503, reason=reason, retry_after_s=STALE_RETRY_S)
