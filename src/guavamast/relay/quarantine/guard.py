"""Keeps contents in quarantine from endpoints, and learns from requests that are lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.relay.caller_gate import Denied
from guavamast.relay.quarantine.ledger import Verdict
from guavamast.relay.quarantine.records import EndpointIncarnation, LostContent
from guavamast.relay.request_digest import compute_request_digest

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.counters import Counters
    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.endpoint_connector import EndpointConnector
    from guavamast.relay.endpoint_load import EndpointLoads
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.messages import CallerRequest
    from guavamast.relay.quarantine.ledger import QuarantineLedger
    from guavamast.relay.quarantine.losses import PendingLosses
    from guavamast.relay.quarantine.rows import QuarantineRows
    from guavamast.relay.rejection_limits import RejectionLimits
    from guavamast.relay.request_progress import RequestProgress

MIN_RETRY_AFTER_S: Final = 1.0
"""Seconds until a caller of a quarantined content retries at the earliest."""
MAX_RETRY_AFTER_S: Final = 60.0
"""Seconds until such a caller retries at the latest: an operator may release the content."""
CHECK_DELAYS_S: Final = (0.0, 0.3, 1.0)
"""Seconds before each connection that checks whether an endpoint still listens: one that is ending
may accept a moment longer."""


class CrashGuard:
    """Decides on requests by the quarantines, and feeds these with what happens to requests.

    While no endpoint has ended lately, a request costs one comparison here; otherwise its digest is
    computed, too.

    Args:
        ledger: The quarantines of this instance.
        losses: Requests that were lost at endpoints that may have ended.
        rows: Grants trials.
        fleet_state: Endpoints that are in use.
        loads: Work at endpoints.
        connector: Tells whether an endpoint's host refuses connections.
        limits: Services whose endpoints end by themselves under load.
        log: Decision log.
        counters: Metrics.
        wake: Starts the background work, which reports to other instances.
        publish: Reports to other instances at once.
        read_time: The local clock.
    """

    __slots__ = (
        "_checks",
        "_connector",
        "_counters",
        "_fleet_state",
        "_ledger",
        "_limits",
        "_loads",
        "_log",
        "_losses",
        "_publish",
        "_read_time",
        "_rows",
        "_wake",
    )

    def __init__(
        self,
        *,
        ledger: QuarantineLedger,
        losses: PendingLosses,
        rows: QuarantineRows,
        fleet_state: FleetState,
        loads: EndpointLoads,
        connector: EndpointConnector,
        limits: RejectionLimits,
        log: DecisionLog,
        counters: Counters,
        wake: Callable[[], None],
        publish: Callable[[], None],
        read_time: Callable[[], float],
    ) -> None:
        self._ledger = ledger
        self._losses = losses
        self._rows = rows
        self._fleet_state = fleet_state
        self._loads = loads
        self._connector = connector
        self._limits = limits
        self._log = log
        self._counters = counters
        self._wake = wake
        self._publish = publish
        self._read_time = read_time
        self._checks: set[asyncio.Task[None]] = set()

    async def admit(self, request: CallerRequest, progress: RequestProgress) -> Denied | None:
        """Return the rejection of a request whose content is in quarantine; None if it may go.

        The rejection says that the request did not run, which is true, and when the next trial is
        due. A status that ends the matter for the caller would be wrong for an innocent one.
        """
        await self._rows.wait_first_read()
        if not self._ledger.active:
            return None
        content = _find_content(request, progress)
        verdict = self._ledger.assess(content, now=self._read_time())
        if verdict is Verdict.CLEAR:
            return None
        if verdict is Verdict.TRIAL_DUE and await self._rows.claim_trial(content):
            self._begin_trial(content, progress)
            return None
        # While the trial was claimed, another instance may have released the content.
        return self._deny(content) if self._ledger.find(content) is not None else None

    def is_quarantined(self, request: CallerRequest, progress: RequestProgress) -> bool:
        """Return whether a request must not be sent, or not again, since it was admitted."""
        if progress.on_trial or not self._ledger.active:
            return False
        return self._ledger.find(_find_content(request, progress)) is not None

    def forbids_retry(self, progress: RequestProgress, record: EndpointRecord) -> bool:
        """Return whether this instance must not repeat a request that it has just lost.

        If another endpoint ended under the same content before, the retry would probably end one
        more, with all that runs there.
        """
        if progress.on_trial:
            return True
        if progress.content is None or not self._ledger.active:
            return False
        forbidden = self._ledger.has_ended_another(progress.content, _identify(record))
        if forbidden:
            self._counters.add("withheld_retries_total")
        return forbidden

    def record_loss(
        self, request: CallerRequest, progress: RequestProgress, record: EndpointRecord
    ) -> None:
        """Record that the connection of a request ended before its response was complete.

        An endpoint that bears few rejections ends under load, whatever runs there: charged with
        such ends, common contents would soon be kept from all endpoints.
        """
        if self._limits.applies(record.service, now=self._read_time()):
            return
        lost = LostContent(
            content=_find_content(request, progress), organisation=_find_organisation(progress)
        )
        if self._losses.record(record, lost, now=self._read_time()):
            row_version = progress.admitted.catalog.row_version
            check = asyncio.create_task(self._check_listening(record, row_version=row_version))
            self._checks.add(check)
            check.add_done_callback(self._checks.discard)
        self._wake()

    def record_gone(self, endpoint_id: str) -> None:
        """Record that an endpoint's address belongs to another one now."""
        self.confirm_end(endpoint_id, evidence="replaced")

    def record_response(
        self,
        request: CallerRequest,
        progress: RequestProgress,
        record: EndpointRecord,
        *,
        status: int,
    ) -> None:
        """Record a complete response, which clears its content and shows its endpoint alive."""
        now = self._read_time()
        if self._losses:
            self._losses.refute(record.endpoint_id, now=now)
        if status >= 500 or not self._ledger.active:
            return
        content = _find_content(request, progress)
        held = self._ledger.find(content) is not None
        if not self._ledger.clear(content, now=now):
            return
        self._wake()
        if held:
            self._publish()
            self._counters.add("quarantine_releases_total")
            self._log.write("quarantine_ended", now=now, content=content, reason="answered")

    def confirm_end(self, endpoint_id: str, *, evidence: str) -> None:
        """Charge the end of an endpoint to what this instance has lost there."""
        end = self._losses.confirm(endpoint_id)
        if end is None:
            return
        now = self._read_time()
        self._counters.add("endpoint_ends_total")
        self._log.write(
            "endpoint_ended",
            now=now,
            endpoint=endpoint_id,
            reason=evidence,
            lost=len(end.lost),
            after_s=round(now - end.ended_at, 3),
        )
        if self._ledger.record_end(end, now=now):
            self._publish()
            self._wake()

    def confirm_replaced(self) -> None:
        """Charge the ends of endpoints that the store no longer lists as they were."""
        for endpoint_id in self._losses.list_replaced(self._fleet_state.endpoints):
            self.confirm_end(endpoint_id, evidence="unlisted")

    async def _check_listening(self, record: EndpointRecord, *, row_version: int) -> None:
        """Confirm an endpoint's end if its host refuses connections.

        An accepted connection shows nothing, as the port may be held by another process. Without an
        answer, only the store's listing can confirm the end.
        """
        for delay_s in CHECK_DELAYS_S:
            await asyncio.sleep(delay_s)
            if await self._connector.is_refused(record, row_version=row_version):
                self.confirm_end(record.endpoint_id, evidence="refused")
                return

    def _begin_trial(self, content: str, progress: RequestProgress) -> None:
        progress.on_trial = True
        progress.tried.update(self._list_busier(progress.service))
        self._counters.add("quarantine_trials_total")
        self._log.write("quarantine_trial", now=self._read_time(), content=content)
        self._publish()
        self._wake()

    def _list_busier(self, service: str) -> list[str]:
        """Return all endpoints of a service but the one where an end would break least."""
        ready = self._fleet_state.endpoints.list_ready(service)
        ready.sort(key=lambda record: self._loads.sum_up(record.endpoint_id).requests)
        return [record.endpoint_id for record in ready[1:]]

    def _deny(self, content: str) -> Denied:
        self._counters.add("quarantine_refusals_total")
        retry_after_s = self._ledger.compute_retry_after(content, now=self._read_time())
        return Denied(
            status=503,
            reason="quarantined",
            content=content,
            retry_after_s=min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s)),
        )


def _find_content(request: CallerRequest, progress: RequestProgress) -> str:
    """Return the digest of a request, computed once."""
    if progress.content is None:
        organisation = _find_organisation(progress)
        progress.content = compute_request_digest(request, organisation=organisation)
    return progress.content


def _find_organisation(progress: RequestProgress) -> str | None:
    """Return the name of the organisation whose key a request carries; None without one."""
    organisation = progress.admitted.organisation
    return organisation.name if organisation is not None else None


def _identify(record: EndpointRecord) -> EndpointIncarnation:
    return EndpointIncarnation(endpoint_id=record.endpoint_id, started_ms=record.started_ms)
