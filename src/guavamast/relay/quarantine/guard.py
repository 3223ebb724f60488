"""Keeps requests in quarantine from endpoints, and learns from those that are lost or answered."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from guavamast.relay.caller_gate import Denied
from guavamast.relay.placement import is_near_capacity
from guavamast.relay.quarantine.attributes import find_kind, list_part_attributes
from guavamast.relay.quarantine.ledger import Verdict
from guavamast.relay.quarantine.records import EndpointIncarnation, LostAttribute
from guavamast.relay.request_digest import compute_request_digest

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from guavamast.relay.counters import Counters
    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.endpoint_connector import EndpointConnector
    from guavamast.relay.endpoint_load import EndpointLoads
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.messages import CallerRequest
    from guavamast.relay.placement import MemoryReserve
    from guavamast.relay.quarantine.answered_parts import AnsweredParts
    from guavamast.relay.quarantine.ledger import QuarantineLedger
    from guavamast.relay.quarantine.losses import PendingLosses
    from guavamast.relay.quarantine.rows import QuarantineRows
    from guavamast.relay.rejection_limits import RejectionLimits
    from guavamast.relay.relayed_response import RelayedResponse
    from guavamast.relay.request_progress import RequestProgress

MIN_RETRY_AFTER_S: Final = 1.0
"""Seconds until a caller of a quarantined request retries at the earliest."""
MAX_RETRY_AFTER_S: Final = 60.0
"""Seconds until such a caller retries at the latest: an operator may release it."""
CHECK_DELAYS_S: Final = (0.0, 0.3, 1.0)
"""Seconds before each connection that checks whether an endpoint still listens: one that is ending
may accept a moment longer."""
UNFRAMED_DELAY_S: Final = 0.5
"""Seconds after a response without framing until its endpoint is looked for once more."""
PUBLISHED_ENDS: Final = 3
"""Endpoints that ended under a cleared attribute from which on other instances are told at once:
they may be about to decide."""


class CrashGuard:
    """Decides on requests by the quarantines, and feeds these with what happens to requests.

    While no endpoint has ended lately, a request costs one comparison and the record of its prompt
    here; otherwise its digest is computed, too.

    Args:
        ledger: The quarantines of this instance.
        losses: Requests that were lost at endpoints that may have ended.
        rows: Grants trials.
        answered_parts: Prompts that are answered.
        fleet_state: Endpoints that are in use.
        loads: Work at endpoints.
        connector: Tells whether an endpoint's host refuses connections.
        limits: Services whose endpoints end by themselves under load.
        reserve: Memory that isn't granted; None where engines bear it if their memory runs out.
        log: Decision log.
        counters: Metrics.
        wake: Starts the background work, which reports to other instances.
        publish: Reports to other instances at once.
        read_time: The local clock.
    """

    __slots__ = (
        "_answered_parts",
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
        "_reserve",
        "_rows",
        "_wake",
    )

    def __init__(
        self,
        *,
        ledger: QuarantineLedger,
        losses: PendingLosses,
        rows: QuarantineRows,
        answered_parts: AnsweredParts,
        fleet_state: FleetState,
        loads: EndpointLoads,
        connector: EndpointConnector,
        limits: RejectionLimits,
        log: DecisionLog,
        counters: Counters,
        wake: Callable[[], None],
        publish: Callable[[], None],
        read_time: Callable[[], float],
        reserve: MemoryReserve | None = None,
    ) -> None:
        self._reserve = reserve
        self._ledger = ledger
        self._losses = losses
        self._rows = rows
        self._answered_parts = answered_parts
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
        """Return the rejection of a request with an attribute in quarantine; None if it may go.

        The rejection says that the request did not run, which is true, and when the next trial is
        due. A status that ends the matter for the caller would be wrong for an innocent one.
        """
        await self._rows.wait_first_read()
        if not self._ledger.active:
            return None
        for attribute in self._list_attributes(request, progress):
            verdict = self._ledger.assess(attribute, now=self._read_time())
            if verdict is Verdict.CLEAR:
                continue
            if verdict is Verdict.TRIAL_DUE and await self._rows.claim_trial(attribute):
                self._begin_trial(attribute, progress)
                continue
            # While the trial was claimed, another instance may have released the attribute.
            if self._ledger.find(attribute) is not None:
                return self._deny(attribute)
        return None

    def is_quarantined(self, request: CallerRequest, progress: RequestProgress) -> bool:
        """Return whether a request must not be sent, or not again, since it was admitted."""
        return self._find_held(request, progress) is not None

    def find_denial(self, request: CallerRequest, progress: RequestProgress) -> Denied | None:
        """Return the rejection of a request that must not be sent, or not again; None if it may."""
        attribute = self._find_held(request, progress)
        return self._deny(attribute) if attribute is not None else None

    def forbids_retry(self, progress: RequestProgress, record: EndpointRecord) -> bool:
        """Return whether this instance must not repeat a request that it has just lost.

        If another endpoint ended under the same attribute before, the retry would probably end one
        more, with all that runs there. What is common to many requests is at each ended endpoint,
        so for that only ends count after which an answer could have cleared it.
        """
        if progress.trials:
            return True
        if progress.attributes is None or not self._ledger.active:
            return False
        incarnation = _identify(record)
        now = self._read_time()
        forbidden = any(
            self._ledger.has_ended_another(
                attribute,
                incarnation,
                settled=self._answered_parts.was_answered(attribute),
                now=now,
            )
            for attribute in progress.attributes
        )
        if forbidden:
            self._counters.add("withheld_retries_total")
        return forbidden

    def record_loss(
        self, request: CallerRequest, progress: RequestProgress, record: EndpointRecord
    ) -> None:
        """Record that the connection of a request ended before its response was complete.

        An endpoint that bears few rejections ends under load, whatever runs there: charged with
        such ends, contents that many callers send would soon be kept from all endpoints. Parts of
        prompts are cleared by the answers to other requests.
        """
        lost = self._list_lost(request, progress)
        if self._limits.applies(record.service, now=self._read_time()):
            lost = [one for one in lost if find_kind(one.attribute).shared]
        if not lost:
            return
        under_load = self._is_under_load(request, record)
        if self._losses.record(record, lost, now=self._read_time(), under_load=under_load):
            row_version = progress.admitted.catalog.row_version
            self._start(self._check_listening(record, row_version=row_version))
        self._wake()

    def _is_under_load(self, request: CallerRequest, record: EndpointRecord) -> bool:
        """Return whether what an endpoint held with a lost request explains its end."""
        if self._reserve is None:
            return False
        held_tokens = self._loads.sum_up(record.endpoint_id).kv_tokens
        return is_near_capacity(
            held_tokens + request.prompt_tokens + request.output_tokens,
            kv_capacity_tokens=self._fleet_state.find_kv_capacity_tokens(record.service),
        )

    def record_gone(self, endpoint_id: str) -> None:
        """Record that an endpoint's address belongs to another one now."""
        self.confirm_end(endpoint_id, evidence="replaced")

    def record_lasting(
        self, request: CallerRequest, progress: RequestProgress, *, began_at: float
    ) -> None:
        """Record that an endpoint has outlived the begin of an answer.

        Args:
            request: The request.
            progress: Its state.
            began_at: Local time of the answer's first event.
        """
        progress.lasted = True
        if not self._ledger.active:
            return
        for attribute in self._list_attributes(request, progress):
            if find_kind(attribute).shared:
                self._clear(attribute, at=began_at)

    def record_response(
        self,
        request: CallerRequest,
        progress: RequestProgress,
        record: EndpointRecord,
        response: RelayedResponse,
    ) -> None:
        """Record a complete response, which clears its request and shows its endpoint alive."""
        if self._losses:
            self._losses.refute(record, now=self._read_time())
        if not self._ledger.active:
            self._record_answered(request, response)
            return
        attributes = [
            attribute
            for attribute in self._list_attributes(request, progress)
            if response.status < find_kind(attribute).acquitted_below_status
        ]
        if response.framed or not any(map(self._ledger.is_suspected, attributes)):
            self._acquit(request, response, attributes)
            return
        row_version = progress.admitted.catalog.row_version
        self._start(
            self._acquit_if_alive(request, response, attributes, record, row_version=row_version)
        )

    def confirm_end(self, endpoint_id: str, *, evidence: str) -> None:
        """Charge the end of an endpoint to what this instance has lost there."""
        overloaded = self._losses.find_overloaded(endpoint_id)
        end = self._losses.confirm(endpoint_id)
        if end is None:
            return
        now = self._read_time()
        if overloaded is not None:
            end = self._ledger.select_proven(end)
            self._counters.add("endpoint_load_ends_total")
            if self._reserve is not None:
                self._reserve.record_end(overloaded.service, endpoint_id, now=now)
        self._counters.add("endpoint_ends_total")
        self._log.write(
            "endpoint_ended",
            now=now,
            endpoint=endpoint_id,
            reason=evidence,
            lost=len(end.lost),
            after_s=round(now - end.ended_at, 3),
            **({"under_load": True} if overloaded is not None else {}),
        )
        if end.lost and self._ledger.record_end(end, now=now):
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

    async def _acquit_if_alive(
        self,
        request: CallerRequest,
        response: RelayedResponse,
        attributes: list[str],
        record: EndpointRecord,
        *,
        row_version: int,
    ) -> None:
        """Acquit the attributes of a request unless its endpoint has ended with the response.

        A response without framing looks complete if its endpoint ends between two events. Then
        requests are lost there, it is no longer listed, or its host refuses connections.
        """
        await asyncio.sleep(UNFRAMED_DELAY_S)
        listed = self._fleet_state.endpoints.find(record.endpoint_id)
        if listed is None or listed.started_ms != record.started_ms:
            return
        if self._losses.has_lost(record.endpoint_id):
            return
        if await self._connector.is_accepting(record, row_version=row_version):
            self._acquit(request, response, attributes)

    def _acquit(
        self, request: CallerRequest, response: RelayedResponse, attributes: list[str]
    ) -> None:
        self._record_answered(request, response)
        for attribute in attributes:
            self._clear(attribute, at=response.began_at)

    def _record_answered(self, request: CallerRequest, response: RelayedResponse) -> None:
        if response.status < HTTPStatus.MULTIPLE_CHOICES and len(request.prompt_parts) > 1:
            self._answered_parts.record(request.prompt_parts)

    def _clear(self, attribute: str, *, at: float) -> None:
        """Clear an attribute of an answered request; tell the others at once if it matters."""
        if not self._ledger.is_suspected(attribute):
            return
        now = self._read_time()
        ends = self._ledger.count_ends(attribute)
        held = self._ledger.find(attribute) is not None
        if not self._ledger.clear(attribute, at=at, now=now):
            return
        self._wake()
        self._counters.add("quarantine_clearances_total")
        if ends > 1:
            self._log.write("cleared", now=now, attribute=attribute, ends=ends)
        if held and self._ledger.find(attribute) is None:
            self._counters.add("quarantine_releases_total")
            self._log.write("quarantine_ended", now=now, attribute=attribute, reason="answered")
        if held or ends >= PUBLISHED_ENDS:
            self._publish()

    def _find_held(self, request: CallerRequest, progress: RequestProgress) -> str | None:
        """Return an attribute in quarantine that a request has without a trial; None if none."""
        if not self._ledger.active:
            return None
        for attribute in self._list_attributes(request, progress):
            if attribute not in progress.trials and self._ledger.find(attribute) is not None:
                return attribute
        return None

    def _start(self, check: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(check)
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    def _list_attributes(
        self, request: CallerRequest, progress: RequestProgress
    ) -> tuple[str, ...]:
        """Return the attributes of a request, computed once."""
        if progress.attributes is None:
            organisation = _find_organisation(progress)
            digest = compute_request_digest(request, organisation=organisation)
            progress.attributes = (digest, *list_part_attributes(request))
        return progress.attributes

    def _list_lost(self, request: CallerRequest, progress: RequestProgress) -> list[LostAttribute]:
        """Return what an endpoint may have ended under that has lost a request.

        A part ends endpoints as these begin an answer, so an answer that had gone on for long shows
        nothing against the parts of its prompt.
        """
        organisation = _find_organisation(progress)
        lost = []
        for attribute in self._list_attributes(request, progress):
            shared = find_kind(attribute).shared
            if not shared or not progress.lasted:
                owner = None if shared else organisation
                lost.append(LostAttribute(attribute=attribute, organisation=owner))
        return lost

    def _begin_trial(self, attribute: str, progress: RequestProgress) -> None:
        progress.trials.add(attribute)
        progress.tried.update(self._list_busier(progress.service))
        self._counters.add("quarantine_trials_total")
        self._log.write("quarantine_trial", now=self._read_time(), attribute=attribute)
        self._publish()
        self._wake()

    def _list_busier(self, service: str) -> list[str]:
        """Return all endpoints of a service but the one where an end would break least."""
        ready = self._fleet_state.endpoints.list_ready(service)
        ready.sort(key=lambda record: self._loads.sum_up(record.endpoint_id).requests)
        return [record.endpoint_id for record in ready[1:]]

    def _deny(self, attribute: str) -> Denied:
        self._counters.add("quarantine_refusals_total")
        retry_after_s = self._ledger.compute_retry_after(attribute, now=self._read_time())
        return Denied(
            status=503,
            reason="quarantined",
            attribute=attribute,
            retry_after_s=min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s)),
        )


def _find_organisation(progress: RequestProgress) -> str | None:
    """Return the name of the organisation whose key a request carries; None without one."""
    organisation = progress.admitted.organisation
    return organisation.name if organisation is not None else None


def _identify(record: EndpointRecord) -> EndpointIncarnation:
    return EndpointIncarnation(endpoint_id=record.endpoint_id, started_ms=record.started_ms)
