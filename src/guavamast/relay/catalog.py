"""The operators' configuration for relaying: routes, organisations with their keys, limits."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

URGENCY_DEFAULT: Final = 5
"""Rank of requests whose route and organisation set none; the middle of the engines' range."""
LEAST_URGENT: Final = 9
"""Rank of the least urgent requests that engines support; greater ranks are less urgent."""
ORDERED_URGENCIES: Final = 2
"""Rank from which on requests of equal urgency are not ordered by their routes at engines."""
ROUTE_LEVELS: Final = 3
"""Rank from which on routes count as equally urgent at engines."""
IDLE_MARGIN_S: Final = 1.0
"""Seconds added to the idle timeout of callers: far longer than a message's transit time plus a
pause of either process."""


class RouteKind(StrEnum):
    """Whether requests of a route may be retried, and whether the response is a stream."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """One of the services among which a route splits its requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """The services and service objectives for requests of one host and path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    """Longest time that a caller waits."""
    objective_s: float
    """Latency objective in seconds: time to the response, for streams to the first event."""
    longest_pause_s: float | None
    """Longest pause between two events with which a stream is still on time."""
    max_endpoints: int
    """Endpoints to which one request may be sent, 1 or more."""
    urgency: int
    """0 is the most urgent."""
    needs_key: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be retried from its start."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    def allows_repetition(self, *, sends: int, possible_runs: int) -> bool:
        """Return whether a request may be sent to a further endpoint.

        Args:
            sends: Number of endpoints to which it was sent.
            possible_runs: Number of these that may have run it.
        """
        return sends < self.max_endpoints and (possible_runs == 0 or self.repeatable)

    def leads_to(self, service: str) -> bool:
        """Return whether requests of the route may go to a service."""
        return any(entry.service == service for entry in self.services)

    def pick_service(self, request_id: str) -> str:
        """Return the service of a request; every instance returns the same for the same id."""
        if len(self.services) == 1:
            return self.services[0].service
        total = sum(entry.weight for entry in self.services)
        digest = blake2b(request_id.encode(), digest_size=8).digest()
        point = int.from_bytes(digest) / 2**64 * total
        for entry in self.services:
            point -= entry.weight
            if point < 0:
                return entry.service
        return self.services[-1].service


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerOrganisation:
    """An organisation whose callers authenticate with API keys."""

    name: str
    urgency: int | None
    """Overrides the route's urgency if set."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ScalingSettings:
    """Bounds and prices of the engines that can be ordered for a service."""

    min_engines: int
    """Engines of both kinds together that each failure domain has at least."""
    max_engines: int
    start_s: float
    """Time from an order until its engines serve."""
    reclaimable_price: float | None
    """Price of an engine that may be taken away, as a fraction of another one's; None if there are
    none."""
    domain_prices: dict[str, float]
    """Relative price of an engine in each failure domain."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSettings:
    """Settings of all endpoints of one service."""

    name: str
    health_path: str
    max_connections: int
    """Connections that one endpoint accepts from all callers together."""
    kv_capacity_tokens: int | None
    """KV cache capacity of one engine; None for services that run no model."""
    scaling: ScalingSettings | None = None
    """None for services whose engines can't be ordered."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Size limits and timeouts for callers' requests."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float

    @property
    def close_idle_after_s(self) -> float:
        """Idle time after which an instance closes a caller's connection.

        Without the margin, a request that is sent just before the timeout crosses the close and
        the caller gets a reset instead of a response. The margin lets everything that was sent
        within the timeout arrive before the close.
        """
        return self.idle_timeout_s + IDLE_MARGIN_S


class Catalog:
    """One version of the operators' configuration, indexed for look-up.

    Args:
        version: Version number set by the operators.
        row_version: Version of the row in the store; increases with each change.
        routes: All routes.
        services: All services.
        organisations: Organisations by their keys; None when callers need no keys.
        limits: Limits on callers' requests.
    """

    __slots__ = (
        "_hosts",
        "_least_urgencies",
        "_negated_urgencies",
        "_shortest_objectives",
        "_shortest_pauses",
        "limits",
        "organisations",
        "row_version",
        "services",
        "version",
    )

    def __init__(
        self,
        *,
        version: int,
        row_version: int,
        routes: list[Route],
        services: list[ServiceSettings],
        organisations: dict[str, CallerOrganisation] | None,
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.row_version = row_version
        self.organisations = organisations
        self.limits = limits
        self.services = {service.name: service for service in services}
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._hosts.setdefault(route.host.lower(), {})[route.path_prefix] = route
        self._least_urgencies = _find_minimum_by_service(routes, lambda route: float(route.urgency))
        self._negated_urgencies = _find_minimum_by_service(
            routes, lambda route: -float(route.urgency)
        )
        self._shortest_objectives = _find_minimum_by_service(
            routes, lambda route: route.objective_s
        )
        self._shortest_pauses = _find_minimum_by_service(
            routes, lambda route: route.longest_pause_s
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix that matches the path.

        Args:
            host: The request's host, with or without a port.
            path: The request's path without its query.
        """
        prefixes = self._hosts.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_shortest_objective(self, service: str) -> float:
        """Return the shortest latency objective, in seconds, of the streams of a service."""
        return self._shortest_objectives.get(service, float("inf"))

    def is_most_urgent(self, route: Route, service: str) -> bool:
        """Return whether no stream of a service is more urgent than those of a route."""
        return route.urgency <= self._least_urgencies.get(service, float("inf"))

    def is_least_urgent(self, route: Route, service: str) -> bool:
        """Return whether no stream of a service is less urgent than those of a route."""
        return route.urgency >= -self._negated_urgencies.get(service, float("inf"))

    def find_shortest_pause(self, service: str) -> float:
        """Return the smallest pause limit, in seconds, among the streams of a service."""
        return self._shortest_pauses.get(service, float("inf"))

    def find_organisation(self, key: str | None) -> CallerOrganisation | None:
        """Return the organisation that holds a key."""
        if key is None or self.organisations is None:
            return None
        return self.organisations.get(key)


def _find_minimum_by_service(
    routes: list[Route], read_value: Callable[[Route], float | None]
) -> dict[str, float]:
    """Return the minimum of a value over the stream routes of each service."""
    least: dict[str, float] = {}
    for route in routes:
        value = read_value(route)
        if route.kind is not RouteKind.STREAM or value is None:
            continue
        for entry in route.services:
            least[entry.service] = min(least.get(entry.service, float("inf")), value)
    return least


def compute_engine_urgency(route: Route, organisation: CallerOrganisation | None) -> int:
    """Return the urgency that engines are told; 0 is the most urgent.

    The organisation's urgency takes precedence if set. Among requests of equal urgency up to 1, the
    route's orders them, so that an engine that is short of KV cache preempts a long summary rather
    than a short response. The range has no room for more; urgencies of 5 and more are alike.

    The value depends on nothing else of the configuration: at one engine run requests that were
    admitted by different versions, and ranks within one version would order them wrongly.
    """
    urgency = _resolve_urgency(route, organisation)
    if urgency < ORDERED_URGENCIES:
        return urgency * ROUTE_LEVELS + min(ROUTE_LEVELS - 1, route.urgency)
    levels_before = ORDERED_URGENCIES * (ROUTE_LEVELS - 1)
    return min(LEAST_URGENT, levels_before + urgency)


def compute_precedence(route: Route, organisation: CallerOrganisation | None) -> int:
    """Return the rank by which instances admit a request; 0 goes first.

    Its tens are the organisation's urgency if set, else the route's. Its ones are the route's.
    """
    urgency = min(LEAST_URGENT, _resolve_urgency(route, organisation))
    return urgency * (LEAST_URGENT + 1) + min(LEAST_URGENT, route.urgency)


def _resolve_urgency(route: Route, organisation: CallerOrganisation | None) -> int:
    if organisation is not None and organisation.urgency is not None:
        return organisation.urgency
    return route.urgency
