"""Fleets and traffic of the two sites, and the requests of a scenario."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp, log
from random import Random
from typing import Final

from guavamast.fleet_objects import (
    Configuration,
    Endpoint,
    EndpointKind,
    FailureDomain,
    Instance,
    ServiceClass,
)
from guavamast.members import Member, MembershipView, MemberState

DURATION_S: Final = 150.0
BURST_START_S: Final = 30.0
BURST_END_S: Final = 110.0
CALM_LOAD: Final = 0.6
"""Offered work without bursts, as a share of capacity."""
ENGINE_TOKEN_S: Final = 0.02
"""Time to generate one token for each request of a full batch."""
SERVICE_UNIT_S: Final = 0.01
SERVICE_SLOTS: Final = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestKind:
    """One kind of request with its class and sizes."""

    name: str
    class_name: str
    share: float
    """Share of the pool's work without bursts."""
    prompt_tokens: int
    median_tokens: float
    sigma: float
    """Standard deviation of the logarithm of the output length."""
    timeout_s: float
    prefixes: int = 0
    """Number of different prompt prefixes; 0 for none."""
    service: str = ""

    @property
    def mean_work(self) -> float:
        """Mean work in tokens; an uncached prefill counts as the tokens generated in its time."""
        mean = self.median_tokens * exp(self.sigma**2 / 2)
        return mean + (0.0 if self.service else self.prompt_tokens * 0.0002 / ENGINE_TOKEN_S)


@dataclass(frozen=True, slots=True, kw_only=True)
class Site:
    """A user's fleet and traffic."""

    name: str
    domains: tuple[str, ...]
    region: str
    engines: int
    services: int
    slots: int
    entries: int
    latency_s: float
    classes: tuple[ServiceClass, ...]
    kinds: tuple[RequestKind, ...]


@dataclass(slots=True, kw_only=True, eq=False)
class Request:
    """One request of the workload."""

    number: int
    arrives_at: float
    kind: RequestKind
    service_class: ServiceClass
    organisation: str
    entry: int
    tokens: int
    prefix_key: str
    deadline: float
    prompt_tokens: int = 0
    ended_at: float | None = None
    first_token_at: float | None = None
    completed: bool = False
    rejected: bool = False
    attempts: int = 0
    inverted: bool = False
    """Whether it was rejected while a lower tier was queued or running in its pool."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """Load and faults of a run."""

    name: str
    burst_kind: str = ""
    burst_load: float = 0.0
    """Additional work of the burst as a share of the pool's capacity."""
    stragglers: int = 0
    straggle_factor: float = 4.0
    crash_share: float = 0.0
    report_lag_s: float = 0.5


@dataclass(slots=True, kw_only=True)
class Fleet:
    """A site's configuration and members."""

    configuration: Configuration
    view: MembershipView
    instances: list[Instance] = field(default_factory=list)


def _build_class(name: str, tier: int, first_ms: float, completion_s: float) -> ServiceClass:
    return ServiceClass(
        name=name,
        tier=tier,
        first_token_ms=first_ms,
        token_interval_ms=40.0,
        completion_s=completion_s,
        guaranteed_share=(0.0, 0.05, 0.05)[tier - 1],
        queue_limit=40,
    )


AGENCE: Final = Site(
    name="agence",
    domains=("namur-a", "namur-b", "liege-a", "charleroi-a"),
    region="be-wallonie",
    engines=9,
    services=4,
    slots=8,
    entries=14,
    latency_s=0.0005,
    classes=(
        _build_class("interactive", 1, 1000.0, 20.0),
        _build_class("standard", 2, 4000.0, 40.0),
        _build_class("batch", 3, 30_000.0, 120.0),
    ),
    kinds=(
        RequestKind(
            name="drafting",
            class_name="interactive",
            share=0.5,
            prompt_tokens=1500,
            median_tokens=150,
            sigma=0.6,
            timeout_s=20.0,
            prefixes=60,
        ),
        RequestKind(
            name="dossier",
            class_name="standard",
            share=0.3,
            prompt_tokens=4000,
            median_tokens=200,
            sigma=0.6,
            timeout_s=40.0,
            prefixes=60,
        ),
        RequestKind(
            name="report",
            class_name="batch",
            share=0.2,
            prompt_tokens=6000,
            median_tokens=400,
            sigma=0.8,
            timeout_s=120.0,
        ),
        RequestKind(
            name="approval",
            class_name="interactive",
            share=0.6,
            prompt_tokens=0,
            median_tokens=20,
            sigma=0.4,
            timeout_s=20.0,
            service="portal",
        ),
        RequestKind(
            name="status",
            class_name="standard",
            share=0.4,
            prompt_tokens=0,
            median_tokens=10,
            sigma=0.4,
            timeout_s=20.0,
            service="portal",
        ),
    ),
)

COTOPAXI: Final = Site(
    name="cotopaxi",
    domains=("quito-norte", "quito-centro", "quito-sur"),
    region="ec-sierra",
    engines=6,
    services=3,
    slots=8,
    entries=13,
    latency_s=0.001,
    classes=(
        _build_class("interactive", 1, 1000.0, 15.0),
        _build_class("standard", 2, 4000.0, 20.0),
        _build_class("batch", 3, 60_000.0, 120.0),
    ),
    kinds=(
        RequestKind(
            name="terms",
            class_name="interactive",
            share=0.25,
            prompt_tokens=1000,
            median_tokens=80,
            sigma=0.5,
            timeout_s=15.0,
            prefixes=40,
        ),
        RequestKind(
            name="tagging",
            class_name="standard",
            share=0.15,
            prompt_tokens=1200,
            median_tokens=12,
            sigma=0.3,
            timeout_s=20.0,
        ),
        RequestKind(
            name="summary",
            class_name="batch",
            share=0.6,
            prompt_tokens=8000,
            median_tokens=700,
            sigma=0.8,
            timeout_s=120.0,
        ),
        RequestKind(
            name="settlement",
            class_name="interactive",
            share=0.5,
            prompt_tokens=0,
            median_tokens=15,
            sigma=0.4,
            timeout_s=20.0,
            service="ledger",
        ),
        RequestKind(
            name="lookup",
            class_name="standard",
            share=0.5,
            prompt_tokens=0,
            median_tokens=8,
            sigma=0.4,
            timeout_s=20.0,
            service="ledger",
        ),
    ),
)


def build_fleet(site: Site) -> Fleet:
    """Return a site's endpoints, classes and instances."""
    endpoints = {}
    for number in range(site.engines + site.services):
        is_engine = number < site.engines
        service = next(kind.service for kind in site.kinds if kind.service)
        name = f"engine-{number}" if is_engine else f"{service}-{number - site.engines}"
        endpoints[name] = Endpoint(
            name=name,
            kind=EndpointKind.ENGINE if is_engine else EndpointKind.SERVICE,
            url="http://127.0.0.1:0",
            failure_domain=site.domains[number % len(site.domains)],
            slots=site.slots if is_engine else SERVICE_SLOTS,
            service="" if is_engine else service,
            models=frozenset({"model"}) if is_engine else frozenset(),
        )
    instances = [
        Instance(
            name=f"instance-{number}",
            failure_domain=FailureDomain(
                name=site.domains[number % len(site.domains)], region=site.region
            ),
            caller_address="",
            peer_address="",
        )
        for number in range(site.entries)
    ]
    members = tuple(
        Member(
            instance=instance,
            incarnation=1,
            state=MemberState.LIVE,
            heartbeat=1,
            configuration_version=1,
        )
        for instance in instances
    )
    configuration = Configuration(
        version=1,
        classes={each.name: each for each in site.classes},
        endpoints=endpoints,
    )
    view = MembershipView(members=members)
    return Fleet(configuration=configuration, view=view, instances=instances)


def compute_capacity(site: Site, *, services: bool) -> float:
    """Return the tokens a second of a site's engines, or the units a second of its services."""
    if services:
        return site.services * SERVICE_SLOTS / SERVICE_UNIT_S
    return site.engines * site.slots / ENGINE_TOKEN_S


def build_requests(site: Site, scenario: Scenario, seed: int) -> list[Request]:
    """Return the requests of a run in order of arrival."""
    random = Random(seed)
    classes = {each.name: each for each in site.classes}
    requests: list[Request] = []
    for kind in site.kinds:
        capacity = compute_capacity(site, services=bool(kind.service))
        calm = CALM_LOAD * kind.share * capacity / kind.mean_work
        extra = 0.0
        if kind.name == scenario.burst_kind:
            extra = scenario.burst_load * capacity / kind.mean_work
        times = _draw_arrivals(random, calm, 0.0, DURATION_S)
        times += _draw_arrivals(random, extra, BURST_START_S, BURST_END_S)
        requests += [_build_request(random, site, kind, classes, time) for time in times]
    requests.sort(key=lambda request: request.arrives_at)
    for number, request in enumerate(requests):
        request.number = number
    return requests


def _draw_arrivals(random: Random, rate: float, start: float, end: float) -> list[float]:
    times = []
    time = start
    while rate > 0:
        time += random.expovariate(rate)
        if time >= end:
            break
        times.append(time)
    return times


def _build_request(
    random: Random, site: Site, kind: RequestKind, classes: dict[str, ServiceClass], time: float
) -> Request:
    organisation = min(9, int(random.paretovariate(0.8)) - 1)
    prefix = ""
    if kind.prefixes:
        prefix = f"{kind.name}-{min(kind.prefixes, int(random.paretovariate(0.7)))}"
    return Request(
        number=0,
        arrives_at=time,
        kind=kind,
        service_class=classes[kind.class_name],
        organisation=f"organisation-{organisation}",
        entry=random.randrange(site.entries),
        tokens=max(1, round(random.lognormvariate(log(kind.median_tokens), kind.sigma))),
        prefix_key=prefix,
        deadline=time + kind.timeout_s,
        prompt_tokens=kind.prompt_tokens,
    )
