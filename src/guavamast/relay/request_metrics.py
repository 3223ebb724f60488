"""Metrics of the decisions on requests."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

from guavamast.relay.endpoint_connection import ConnectionKind
from guavamast.relay.placement import ObstacleKind
from guavamast.relay.unserved_cause import UnservedCause

if TYPE_CHECKING:
    from guavamast.relay.attempt_failure import AttemptFailed
    from guavamast.relay.caller_gate import Admitted
    from guavamast.relay.counters import Counters
    from guavamast.relay.fleet_state import RoundedAges
    from guavamast.relay.placement import Obstacle
    from guavamast.relay.response_end import ResponseEnd
    from guavamast.relay.stream_timing import Lateness, StreamTiming

MAX_ORGANISATIONS: Final = 32
"""Parts by organisation that a metric has at most; further organisations are counted together."""


class RequestMetrics:
    """Counts decisions on requests and observes their times.

    Args:
        counters: Receives the metrics.
    """

    __slots__ = ("_counters", "_share_names")

    def __init__(self, *, counters: Counters) -> None:
        self._counters = counters
        self._share_names: set[str] = set()
        """Organisations that have a metric of their own."""

    def count_connection(self, kind: ConnectionKind) -> None:
        """Count a connection by whether it is new, and those that lead through other instances."""
        if kind is ConnectionKind.FORWARDED:
            self._counters.add("forwarded_sends_total")
            return
        is_new = str(kind is ConnectionKind.NEW).lower()
        self._counters.add(f'endpoint_connections_total{{new="{is_new}"}}')

    def count_send(
        self, precedence: int, *, service: str, prompt_tokens: int, sends: int, ages: RoundedAges
    ) -> None:
        """Count a request that is sent to an endpoint.

        Args:
            precedence: Precedence of the request.
            service: Service of the endpoint.
            prompt_tokens: Tokens of the prompt.
            sends: Sends of the request so far, including this one.
            ages: RoundedAges of the data behind the decision.
        """
        self._counters.add(f'sends_total{{repeat="{str(sends > 1).lower()}"}}')
        if sends == 1:
            self._counters.add(f'first_sends_total{{precedence="{precedence}"}}')
            labels = f'service="{service}",precedence="{precedence}"'
            self._counters.add(f"begun_tokens_total{{{labels}}}", prompt_tokens)
        self._counters.observe("send_config_age_seconds", ages.config_s)
        self._counters.observe("send_endpoints_age_seconds", ages.endpoints_s)

    def count_withheld(self) -> None:
        """Count a request that is held back right before its send, as it lacks a permit."""
        self._counters.add("rate_limited_sends_withheld_total")

    def observe_first_event(self, took_s: float, *, expected_s: float | None) -> None:
        """Observe the time to a first event, and the error of its forecast if there was one."""
        self._counters.observe("first_event_seconds", took_s)
        if expected_s is not None:
            self._counters.observe("forecast_error_seconds", abs(took_s - expected_s))

    def count_failure(self, failure: AttemptFailed) -> None:
        """Count a failed attempt."""
        self._counters.add(f'attempt_failures_total{{kind="{failure.kind}"}}')
        self._count_response_end(failure.end)

    def count_cut_reader(self) -> None:
        """Count a caller that was cut off, as it read too slowly."""
        self._counters.add("cut_readers_total")

    def count_rejection(self, status: int) -> None:
        """Count a request that is rejected without an attempt."""
        self._counters.add(f'refusals_total{{status="{status}"}}')

    def count_capacity_rejection(self, admitted: Admitted, *, obstacle: Obstacle | None) -> None:
        """Count a request that is rejected for lack of capacity, and what kept it back."""
        precedence = admitted.precedence
        self.count_rejection(503)
        self._counters.add(f'sent_back_total{{precedence="{precedence}"}}')
        self.count_unserved(precedence, UnservedCause.NO_ROOM)
        if obstacle is None:
            return
        labels = f'precedence="{precedence}",by="{obstacle.kind}"'
        self._counters.add(f"held_back_total{{{labels}}}")
        if obstacle.kind is ObstacleKind.SHARE:
            self._count_share_rejection(admitted.organisation_name)

    def count_response(
        self, end: ResponseEnd, *, timing: StreamTiming, late: Lateness | None, took_s: float
    ) -> None:
        """Count a response that was forwarded completely, and whether and why it was late."""
        if late is not None:
            self._counters.add(f'late_answers_total{{cause="{late}"}}')
        self.count_end("answered", took_s=took_s)
        self._count_response_end(end)
        if timing.first_event_s is not None:
            self._counters.observe("longest_pause_seconds", timing.longest_pause_s)

    def count_end(self, outcome: str, *, took_s: float) -> None:
        """Count a request by its outcome."""
        self._counters.add(f'requests_total{{outcome="{outcome}"}}')
        self._counters.observe("request_seconds", took_s)

    def count_unserved(self, precedence: int, cause: UnservedCause) -> None:
        """Count an attempt of a caller that was not answered."""
        labels = f'precedence="{precedence}",cause="{cause}"'
        self._counters.add(f"unserved_total{{{labels}}}")

    def count_ended_by_leaving(self, *, received_after_signal_s: float | None) -> None:
        """Count a request that the end of this instance has cut, by when it was received."""
        is_after = received_after_signal_s is not None and received_after_signal_s >= 0.0
        received = "after" if is_after else "before"
        self._counters.add(f'ended_by_leaving_total{{received="{received}"}}')

    def _count_share_rejection(self, organisation: str) -> None:
        """Count a request that was rejected for its organisation's share."""
        if organisation not in self._share_names and len(self._share_names) < MAX_ORGANISATIONS:
            self._share_names.add(organisation)
        known = organisation if organisation in self._share_names else "others"
        self._counters.add(f"share_rejections_total{{organisation={json.dumps(known)}}}")

    def _count_response_end(self, end: ResponseEnd) -> None:
        """Count a response by its framing and its ending, if there was one."""
        if end.framing is None:
            return
        inside_event = str(end.inside_event).lower()
        labels = f'framing="{end.framing}",ending="{end.ending}",inside_event="{inside_event}"'
        self._counters.add(f"response_ends_total{{{labels}}}")
