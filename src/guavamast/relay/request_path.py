"""Builds the components that handle a request: admission, endpoint selection, attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.attempt_budget import AttemptBudget, BudgetTerms
from guavamast.relay.caller_admission import CallerAdmission
from guavamast.relay.caller_gate import CallerGate
from guavamast.relay.endpoint_choice import EndpointChooser
from guavamast.relay.exchange import Exchanger
from guavamast.relay.placing import OwnPlacer, ScheduledPlacer
from guavamast.relay.relayer import Relayer

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from guavamast.relay.connection_pool import ConnectionPool
    from guavamast.relay.exchange import PublishLoad
    from guavamast.relay.fleet_knowledge import FleetKnowledge
    from guavamast.relay.messages import HeaderCodec
    from guavamast.relay.node_settings import NodeSettings
    from guavamast.relay.placing import Placer
    from guavamast.relay.request_notes import RequestNotes
    from guavamast.relay.scheduling import Scheduling
    from guavamast.relay.staleness import StalenessBounds
    from guavamast.relay.store_reader import StoreReader
    from guavamast.relay.work_knowledge import WorkKnowledge


def make_relayer(
    *,
    settings: NodeSettings,
    codec: HeaderCodec,
    knowledge: FleetKnowledge,
    work: WorkKnowledge,
    bounds: StalenessBounds,
    reader: StoreReader,
    pool: ConnectionPool,
    notes: RequestNotes,
    scheduling: Scheduling,
    tell_load: PublishLoad,
    random: Random,
    read_time: Callable[[], float],
) -> Relayer:
    """Return the relayer of one instance.

    Args:
        settings: Limits of the retry budget.
        codec: Encodes and decodes headers.
        knowledge: Configuration, endpoints and other instances.
        work: Known work at endpoints.
        bounds: Maximum ages of configuration and endpoint data.
        reader: Reads the store.
        pool: Idle connections to endpoints.
        notes: Log lines and metrics of requests.
        scheduling: Queries the schedulers of endpoints.
        tell_load: Called when this instance's work at an endpoint has changed.
        random: Source of all jitter and random choices.
        read_time: Reads the local clock.
    """
    admission = CallerAdmission(
        gate=CallerGate(bounds=bounds),
        bounds=bounds,
        knowledge=knowledge,
        reader=reader,
        read_time=read_time,
    )
    budget = AttemptBudget(terms=_build_budget_terms(settings))
    exchanger = Exchanger(
        admission=admission,
        knowledge=knowledge,
        loads=work.loads,
        cache=work.cache,
        budget=budget,
        codec=codec,
        pool=pool,
        recorder=notes,
        profiles=work.profiles,
        publish_load=tell_load,
        read_time=read_time,
    )
    return Relayer(
        knowledge=knowledge,
        admission=admission,
        loads=work.loads,
        budget=budget,
        codec=codec,
        recorder=notes,
        placer=_build_placer(
            knowledge=knowledge,
            work=work,
            scheduling=scheduling,
            random=random,
            read_time=read_time,
        ),
        exchanger=exchanger,
        demand=work.demand,
        profiles=work.profiles,
        read_time=read_time,
    )


def _build_placer(
    *,
    knowledge: FleetKnowledge,
    work: WorkKnowledge,
    scheduling: Scheduling,
    random: Random,
    read_time: Callable[[], float],
) -> Placer:
    own_placer = OwnPlacer(
        knowledge=knowledge,
        chooser=EndpointChooser(loads=work.loads, cache=work.cache, random=random),
        demand=work.demand,
        profiles=work.profiles,
        refusals=work.refusals,
        random=random,
        read_time=read_time,
    )
    return ScheduledPlacer(
        own=own_placer,
        client=scheduling.client,
        groups=scheduling.groups,
        knowledge=knowledge,
        loads=work.loads,
        read_time=read_time,
    )


def _build_budget_terms(settings: NodeSettings) -> BudgetTerms:
    return BudgetTerms(
        ratio=settings.repeat_ratio,
        slack=settings.repeat_slack,
        window_s=settings.repeat_window_s,
    )
