"""Accuracy of an organisation's limits over many entries, and the messages needed."""

from __future__ import annotations

import heapq
from bisect import bisect_right
from collections import Counter
from dataclasses import dataclass
from random import Random
from typing import Final

from guavamast.allotments import BURST_S, Allotment, AllotmentAsk, AllotmentDispatcher
from guavamast.fleet_objects import Contract, Organisation
from guavamast.limits import AdmissionState, EntryLimiter
from guavamast.peer_pb2 import (
    AllotmentAskMessage,
    AllotmentMessage,
    EntryBatch,
    EntryMessage,
    KeeperBatch,
    KeeperMessage,
)

DURATION_S: Final = 60.0
WARM_UP_S: Final = 20.0
LATENCY_S: Final = 0.003
MEAN_RUN_S: Final = 2.0
"""Mean run time of a request."""
FLUSH_S: Final = 0.5
MAX_ADMISSION_ATTEMPTS: Final = 4
"""Attempts to admit a request, as other requests may use up the allotment that it waits for."""
FRAME_BYTES: Final = 66 + 14
"""TCP/IP headers, and HTTP/2 and gRPC framing, of a message sent by itself."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitOutcome:
    """Measurements of one run."""

    entries: int
    rate: float
    concurrent: int
    load: float
    """Offered requests as a share of the binding limit."""
    admitted_share: float
    """Admitted requests as a share of those that an exact limiter would admit."""
    worst_second: float
    """Most requests admitted in a window of 1 s, as a share of the rate limit."""
    worst_concurrent: float
    """Most requests at once, as a share of the concurrency limit."""
    asks_per_request: float
    outcomes: Counter
    """Number of requests by admission state and code."""
    dispatcher_bytes_per_s: float
    """Bytes a second received and sent by the dispatcher that allots the limits."""


def size_ask(ask: AllotmentAsk) -> int:
    """Return the bytes on the wire of an ask sent by itself."""
    message = AllotmentAskMessage(
        organisation=ask.organisation,
        sequence=ask.sequence,
        rate_wanted=ask.rate_wanted,
        tokens_wanted=ask.tokens_wanted,
        concurrent_wanted=ask.concurrent_wanted,
        held_concurrent=ask.held_concurrent,
    )
    return EntryBatch(messages=[EntryMessage(allotment_ask=message)]).ByteSize() + FRAME_BYTES


def size_allotment(allotment: Allotment) -> int:
    """Return the bytes on the wire of an allotment sent by itself."""
    message = AllotmentMessage(
        organisation=allotment.organisation,
        sequence=allotment.sequence,
        tokens=allotment.tokens,
        concurrent=allotment.concurrent,
        tight=allotment.tight,
        hold_s=allotment.hold_s,
        valid_for_s=allotment.valid_for_s,
    )
    return KeeperBatch(messages=[KeeperMessage(allotment=message)]).ByteSize() + FRAME_BYTES


class LimitFleet:
    """Simulates the entries and the allotment dispatcher of one organisation."""

    def __init__(self, *, entries: int, organisation: Organisation, seed: int) -> None:
        self.organisation = organisation
        self.random = Random(seed)
        self.dispatcher = AllotmentDispatcher()
        self.entries = [
            EntryLimiter(entry=f"instance-{n}", first_sequence=1_764_716_400_000)
            for n in range(entries)
        ]
        self.admitted: list[float] = []
        self.outcomes: Counter = Counter()
        self.running = 0
        self.max_running = 0
        self.asks = 0
        self.bytes = 0
        self.now = 0.0
        self._events: list[tuple[float, int, str, int, Allotment | None]] = []
        self._count = 0

    def schedule(
        self, time: float, kind: str, number: int, answer: Allotment | None = None
    ) -> None:
        """Schedule an event at a time."""
        self._count += 1
        heapq.heappush(self._events, (time, self._count, kind, number, answer))

    def run(self) -> None:
        """Process all events in order of time."""
        while self._events:
            self.now, _, kind, number, answer = heapq.heappop(self._events)
            limiter = self.entries[number]
            if kind.startswith("try"):
                self._admit(number, int(kind[3:]))
            elif kind == "end":
                self.running -= 1
                limiter.release(self.organisation.name, now=self.now)
            elif kind == "answer":
                limiter.record_allotment(answer, now=self.now)
            elif kind == "flush" and self.now < DURATION_S:
                self.schedule(self.now + FLUSH_S, "flush", number)
            self._exchange(number)

    def _admit(self, number: int, attempt: int) -> None:
        admission = self.entries[number].admit(self.organisation, now=self.now)
        if admission.state is AdmissionState.PENDING and attempt < MAX_ADMISSION_ATTEMPTS:
            self.schedule(self.now + 2.2 * LATENCY_S, f"try{attempt + 1}", number)
        else:
            self.outcomes[admission.state, admission.code] += 1
        if admission.granted:
            self.admitted.append(self.now)
            self.running += 1
            self.max_running = max(self.max_running, self.running)
            self.schedule(self.now + self.random.expovariate(1 / MEAN_RUN_S), "end", number)

    def _exchange(self, number: int) -> None:
        for ask in self.entries[number].collect_asks(now=self.now):
            answer = self.dispatcher.ask(ask, self.organisation, now=self.now)
            if answer is None:
                continue
            if self.now >= WARM_UP_S:
                self.asks += 1
                self.bytes += size_ask(ask) + size_allotment(answer)
            self.schedule(self.now + 2 * LATENCY_S, "answer", number, answer)


def count_exact(arrivals: list[float], contract: Contract, random: Random) -> int:
    """Return the number of requests that a single central limiter admits after the warm-up."""
    tokens = burst = max(1.0, contract.requests_per_second * BURST_S)
    last = 0.0
    running: list[float] = []
    count = 0
    for time in arrivals:
        tokens = min(burst, tokens + (time - last) * contract.requests_per_second)
        last = time
        while running and running[0] <= time:
            heapq.heappop(running)
        if tokens >= 1.0 and len(running) < contract.concurrent:
            tokens -= 1.0
            heapq.heappush(running, time + random.expovariate(1 / MEAN_RUN_S))
            count += WARM_UP_S <= time < DURATION_S
    return count


def measure_limit(
    *, entries: int, rate: float, concurrent: int, load: float, seed: int, skew: float = 0.0
) -> LimitOutcome:
    """Measure how exactly one organisation's limits hold.

    Args:
        entries: Number of entries that its callers use.
        rate: Limit on requests a second.
        concurrent: Limit on requests at once.
        load: Offered requests as a share of the binding limit.
        seed: Seed of arrivals and run times.
        skew: Exponent of the Zipf distribution of requests over entries; 0 for a uniform one.
    """
    contract = Contract(requests_per_second=rate, concurrent=concurrent, classes={})
    organisation = Organisation(name="organisation-1", key_sha256="", contract=contract)
    fleet = LimitFleet(entries=entries, organisation=organisation, seed=seed)
    random = Random(seed + 1)
    bound = min(rate, concurrent / MEAN_RUN_S)
    weights = [1 / (number + 1) ** skew for number in range(entries)]
    time = 0.0
    arrivals = []
    while time < DURATION_S:
        time += random.expovariate(bound * load)
        arrivals.append(time)
        fleet.schedule(time, "try1", random.choices(range(entries), weights)[0])
    for number in range(entries):
        fleet.schedule(random.uniform(0, FLUSH_S), "flush", number)
    fleet.run()
    measured = [time for time in fleet.admitted if WARM_UP_S <= time < DURATION_S]
    seconds = DURATION_S - WARM_UP_S
    exact = count_exact(arrivals, contract, Random(seed))
    worst = max(
        (bisect_right(measured, t + 1.0) - index for index, t in enumerate(measured)), default=0
    )
    return LimitOutcome(
        entries=entries,
        rate=rate,
        concurrent=concurrent,
        load=load,
        admitted_share=len(measured) / max(1, exact),
        worst_second=worst / rate,
        worst_concurrent=fleet.max_running / concurrent,
        asks_per_request=fleet.asks / (seconds * bound * load),
        outcomes=fleet.outcomes,
        dispatcher_bytes_per_s=fleet.bytes / seconds,
    )
