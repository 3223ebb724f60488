"""What one instance needs to perform duties, and to report to those that do."""

from __future__ import annotations

import asyncio
import time
import uuid
from typing import TYPE_CHECKING, Final

from guavamast.leases import LeaseHolder, LeaseParameters
from guavamast.relay.duties.candidacy import Candidacy
from guavamast.relay.duties.collection import ReportCollection
from guavamast.relay.duties.holder import DutyHolder
from guavamast.relay.duties.member import DutyMember
from guavamast.relay.duties.report_wire import decode_duty_message, encode_duty_message
from guavamast.relay.duties.reports import DutyNotice
from guavamast.relay.duties.tenure_factory import TenureFactory
from guavamast.relay.duties.usage_counter import UsageCounter
from guavamast.relay.duties.usage_duty import UsageDuty
from guavamast.relay.duties.usage_ledger import UsageLedger
from guavamast.relay.scaling import DemandCounter, EngineScaling, MarginalPolicy, OrderBook

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.leases import LeaseTable
    from guavamast.relay.counters import Counters
    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.duty_settings import DutySettings
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.freshness import StoreClock
    from guavamast.relay.placement import EngineProfiles
    from guavamast.relay.provider import Provider
    from guavamast.relay.store import InstanceRecord

CALL_MARGIN_S: Final = 1.4
"""Seconds before the end of a lease after which nothing is sent: one call with its connecting."""
LATE_ARRIVAL_S: Final = 1.0
"""Seconds after the end of a lease in which a call sent under it may still arrive."""


class Duties:
    """Builds and holds what an instance needs for the duties.

    Args:
        settings: What the provider wants to be told.
        record: This instance.
        incarnation: Start of this process.
        fleet_state: Configuration, endpoints and other instances.
        table: Stores the lease.
        provider: Receives the calls.
        profiles: Speeds of the engines.
        clock: Maps store time to local time.
        send: Sends a datagram to an address.
        log: Decision log.
        counters: Metrics.
        read_time: The local clock.
    """

    __slots__ = (
        "_candidacy",
        "_collection",
        "_fleet_state",
        "_member",
        "_read_time",
        "_send",
        "demand",
        "holder",
        "usage",
    )

    def __init__(
        self,
        *,
        settings: DutySettings,
        record: InstanceRecord,
        incarnation: int,
        fleet_state: FleetState,
        table: LeaseTable,
        provider: Provider,
        profiles: EngineProfiles,
        clock: StoreClock,
        send: Callable[[bytes, tuple[str, int]], None],
        log: DecisionLog,
        counters: Counters,
        read_time: Callable[[], float],
    ) -> None:
        self._fleet_state = fleet_state
        self._send = send
        self._read_time = read_time
        self._collection = ReportCollection()
        self._candidacy = Candidacy(name=record.name, started_at=read_time())
        self.usage = UsageCounter(locate=clock.locate)
        """Counts the runs that begin at this instance's requests."""
        self.demand = DemandCounter()
        """Counts the demand for engines that reaches this instance."""
        self._member = DutyMember(
            record=record,
            incarnation=incarnation,
            fleet_state=fleet_state,
            usage=self.usage,
            demand=self.demand,
            collection=self._collection,
            window_s=settings.window_s,
            locate=clock.locate,
            send=send,
            read_time=read_time,
            read_wall=time.time,
        )
        lease = self._build_lease(settings, record, table)
        self.holder = DutyHolder(
            record=record,
            lease=lease,
            fenced=settings.fenced,
            candidacy=self._candidacy,
            collection=self._collection,
            tenures=TenureFactory(
                lease=lease,
                fenced=settings.fenced,
                build_usage=self._choose_usage(settings),
                build_scaling=self._choose_scaling(settings, profiles),
                provider=provider,
                log=log,
                counters=counters,
                read_time=read_time,
            ),
            fleet_state=fleet_state,
            broadcast=self._broadcast,
            locate=clock.locate,
            log=log,
            counters=counters,
            read_time=read_time,
        )
        """Performs the duties while this instance holds them."""

    async def run(self) -> None:
        """Report, and perform the duties when it is this instance's turn, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._member.run())
            tasks.create_task(self.holder.run())

    def receive(self, data: bytes) -> None:
        """Receive the datagram of a message about duties.

        Raises:
            MalformedData: The datagram is not a valid message.
        """
        message = decode_duty_message(data)
        now = self._read_time()
        if isinstance(message, DutyNotice):
            self._candidacy.receive(message, now=now)
            self._member.receive_notice(message)
        else:
            self._collection.apply(message, now=now)

    def _build_lease(
        self, settings: DutySettings, record: InstanceRecord, table: LeaseTable
    ) -> LeaseHolder:
        return LeaseHolder(
            table=table,
            read_time=self._read_time,
            holder=record.name,
            generate_nonce=lambda: uuid.uuid4().hex,
            parameters=build_lease_parameters(settings),
        )

    def _choose_usage(self, settings: DutySettings) -> Callable[[], UsageDuty] | None:
        """Return what builds the decisions on usage; None if usage is not reported."""
        if not settings.reports_usage:
            return None
        return lambda: UsageDuty(
            ledger=UsageLedger(),
            collection=self._collection,
            window_s=settings.window_s,
            due_s=settings.usage_due_s,
        )

    def _choose_scaling(
        self, settings: DutySettings, profiles: EngineProfiles
    ) -> Callable[[], EngineScaling] | None:
        """Return what builds the decisions on orders; None if engines are not ordered."""
        if not settings.orders_engines:
            return None
        return lambda: EngineScaling(
            fleet_state=self._fleet_state,
            collection=self._collection,
            orders=OrderBook(),
            profiles=profiles,
            build_policy=MarginalPolicy,
        )

    def _broadcast(self, notice: DutyNotice) -> None:
        self._candidacy.receive(notice, now=self._read_time())
        self._member.receive_notice(notice)
        data = encode_duty_message(notice)
        for target in self._fleet_state.peers.list_targets():
            self._send(data, (target.ip, target.peer_port))


def build_lease_parameters(settings: DutySettings) -> LeaseParameters:
    """Return the durations of the lease of the duties."""
    return LeaseParameters(
        duration_s=settings.lease_s,
        margin_s=CALL_MARGIN_S,
        order_time_s=LATE_ARRIVAL_S + settings.resume_slack_s,
        tenure_s=settings.lease_s + LATE_ARRIVAL_S,
    )
