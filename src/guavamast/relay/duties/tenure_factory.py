"""Begins tenures of the duties by the records that were read under their lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.duties.tenure import Tenure

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.leases import LeasedRecords, LeaseHolder
    from guavamast.relay.counters import Counters
    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.duties.usage_duty import UsageDuty
    from guavamast.relay.provider import Provider
    from guavamast.relay.scaling import EngineScaling


class TenureFactory:
    """Builds what decides on the duties anew for each tenure, and has it read the records.

    Args:
        lease: Renews the lease.
        fenced: Whether the provider rejects calls with an older fencing number.
        build_usage: Builds what decides on the usage to report; None if usage is not reported.
        build_scaling: Builds what decides on the engines to order; None if they are not ordered.
        provider: Receives the calls.
        log: Decision log.
        counters: Metrics.
        read_time: The local clock.
    """

    __slots__ = (
        "_build_scaling",
        "_build_usage",
        "_counters",
        "_fenced",
        "_lease",
        "_log",
        "_provider",
        "_read_time",
    )

    def __init__(
        self,
        *,
        lease: LeaseHolder,
        fenced: bool,
        build_usage: Callable[[], UsageDuty] | None,
        build_scaling: Callable[[], EngineScaling] | None,
        provider: Provider,
        log: DecisionLog,
        counters: Counters,
        read_time: Callable[[], float],
    ) -> None:
        self._lease = lease
        self._fenced = fenced
        self._build_usage = build_usage
        self._build_scaling = build_scaling
        self._provider = provider
        self._log = log
        self._counters = counters
        self._read_time = read_time

    def begin(self, leased: LeasedRecords, *, now: float) -> Tenure:
        """Return a tenure that performs the duties by the records.

        Args:
            leased: The records, with the lease under which they were read.
            now: The present time.

        Raises:
            MalformedData: A record can't be decoded.
        """
        scaling = self._build_scaling() if self._build_scaling is not None else None
        if scaling is not None:
            scaling.load(leased.records)
        usage = self._build_usage() if self._build_usage is not None else None
        if usage is not None:
            usage.restore(leased.records, now=now)
        return Tenure(
            lease=self._lease,
            held=leased.lease,
            fenced=self._fenced,
            usage=usage,
            scaling=scaling,
            provider=self._provider,
            log=self._log,
            counters=self._counters,
            read_time=self._read_time,
        )
