"""Callers of three kinds that ask for more than a service can do, and the check of its order."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.platform.standins.site import MODELS, ModelRoute
from guavamast.relay.endpoint_connection import ConnectionRefused
from guavamast.relay.http_connection import ConnectionLost, MalformedAnswer
from guavamast.urgency_order import BegunWork, OrderWindow, RequestOutcome, find_worst_windows
from soak.callers import AddressBook
from soak.guarantees import RequestRecord, Span, is_undisturbed
from soak.prompt_requests import PromptAnswer, PromptRequest, send_prompt

if TYPE_CHECKING:
    from random import Random

    from soak.site import SoakSite

MODEL_ENGINES: Final = 4
MAX_RETRY_SHARE: Final = 1 / 3
"""Share of its remaining time for which a caller waits before its retry at most."""
RECONNECT_PAUSE_S: Final = 0.05
"""Pause before a caller resolves again, as no address accepted its connect."""
CALM_S: Final = 1.0
"""Seconds after its first attempt in which a counted request must be undisturbed."""
MAX_USED_SHARE: Final = 0.5
"""Share of what the order of urgencies allows that may be used: half."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CrowdKind:
    """One kind of request."""

    route: ModelRoute
    per_s: float
    tokens: int


KINDS: Final = (
    CrowdKind(
        route=ModelRoute(name="question", urgency=0, objective_ms=400, timeout_ms=6_000),
        per_s=6.0,
        tokens=150,
    ),
    CrowdKind(
        route=ModelRoute(name="photo", urgency=1, objective_ms=500, timeout_ms=4_000),
        per_s=8.0,
        tokens=450,
    ),
    CrowdKind(
        route=ModelRoute(name="digest", urgency=2, objective_ms=2_500, timeout_ms=12_000),
        per_s=6.0,
        tokens=1_800,
    ),
)
"""The kinds in the order of their urgency; together a quarter more than what engines do."""


class UrgencyCrowd:
    """Sends requests of all kinds, whatever becomes of earlier ones, and retries each once.

    Args:
        site: Site of the run.
        random: Chooses arrivals and instances.
        resolves: Whether its callers take addresses from the directory, and go on to another one
            where a connect is refused. Otherwise they ask any instance, also one that has stopped.
    """

    def __init__(self, *, site: SoakSite, random: Random, resolves: bool = False) -> None:
        self._site = site
        self._random = random
        self._resolves = resolves
        self._book: AddressBook | None = None
        self._count = 0
        self.requests: list[RequestRecord] = []
        """All attempts."""
        self.outcomes: list[RequestOutcome] = []
        """All requests over their attempts."""

    async def start_engines(self) -> None:
        """Start the engines of the service and publish its routes."""
        self._site.model_routes = tuple(kind.route for kind in KINDS)
        self._site.publish_configuration()
        for number in range(MODEL_ENGINES):
            await self._site.add_engine(f"models-{number}", MODELS)

    async def run(self, until: float) -> None:
        """Send requests until a time of the monotonic clock, and wait for their ends."""
        if self._resolves:
            directories = [one.directory_address for one in self._site.instances]
            self._book = AddressBook(directories=directories, random=self._random)
        async with asyncio.TaskGroup() as tasks:
            for kind in KINDS:
                tasks.create_task(self._send_kind(kind, until, tasks))

    def find_violations(self, disruptions: list[Span]) -> list[str]:
        """Return where less urgent work began while urgent requests got nothing.

        Args:
            disruptions: Spans in which, and shortly after which, nothing is promised.
        """
        return [
            f"{window.unserved} of {window.requests} requests of {window.kind} got nothing "
            f"({window.unserved_tokens} tokens), while less urgent ones of "
            f"{window.less_urgent_tokens} tokens began: {window.used_share:.2f} of what is allowed"
            for window in self.list_windows(disruptions)
            if window.used_share > MAX_USED_SHARE
        ]

    def list_windows(self, disruptions: list[Span]) -> list[OrderWindow]:
        """Return the window of each kind that comes closest to a violation, the worst first.

        Args:
            disruptions: Spans in which, and shortly after which, nothing is promised.
        """
        calm = [
            one
            for one in self.outcomes
            if is_undisturbed(disruptions, one.asked_at, one.asked_at + CALM_S)
        ]
        work = [
            one
            for one in self._list_work()
            if is_undisturbed(disruptions, one.began_at, one.began_at)
        ]
        return find_worst_windows(calm, work)

    def _list_work(self) -> list[BegunWork]:
        """Return the requests that engines of the service began to work on."""
        by_name = {kind.route.name: kind for kind in KINDS}
        kinds = {one.request_id: one.request_id.partition("-")[0] for one in self.requests}
        return [
            BegunWork(
                service=MODELS,
                precedence=by_name[kinds[run.request_id]].route.urgency,
                tokens=by_name[kinds[run.request_id]].tokens,
                began_at=run.started_at,
            )
            for run in self._site.list_runs()
            if run.request_id in kinds
        ]

    async def _send_kind(self, kind: CrowdKind, until: float, tasks: asyncio.TaskGroup) -> None:
        while time.monotonic() < until:
            await asyncio.sleep(self._random.expovariate(kind.per_s))
            self._count += 1
            tasks.create_task(self._ask(kind, f"{kind.route.name}-{self._count}"))

    async def _ask(self, kind: CrowdKind, name: str) -> None:
        """Send a request, and once more if it is told to."""
        asked_at = time.monotonic()
        deadline = asked_at + kind.route.timeout_ms / 1000.0
        served, retry_after_s = await self._attempt(kind, f"{name}-1", name, deadline)
        if not served and retry_after_s is not None:
            left_s = deadline - time.monotonic()
            await asyncio.sleep(min(retry_after_s, MAX_RETRY_SHARE * left_s))
            served, _ = await self._attempt(kind, f"{name}-2", name, deadline)
        self.outcomes.append(
            RequestOutcome(
                service=MODELS,
                kind=kind.route.name,
                precedence=kind.route.urgency,
                tokens=kind.tokens,
                asked_at=asked_at,
                served=served,
            )
        )

    async def _attempt(
        self, kind: CrowdKind, request_id: str, part: str, deadline: float
    ) -> tuple[bool, float | None]:
        """Return whether an attempt was served, and the seconds until the next one."""
        sent_at = time.monotonic()
        answer = PromptAnswer()
        left = False
        timeout_s = deadline - sent_at
        request = PromptRequest(
            request_id=request_id,
            path_prefix=kind.route.path_prefix,
            prompt=f"{part.encode().hex()[-16:]}:{kind.tokens}",
            tokens=kind.tokens,
            timeout_s=timeout_s,
        )
        try:
            async with asyncio.timeout(max(0.1, timeout_s)):
                await self._send(request, answer)
        except (ConnectionLost, MalformedAnswer):
            pass
        except TimeoutError:
            left = True
        self.requests.append(answer.build_record(request, sent_at=sent_at, left=left))
        served = answer.status == 200 and answer.complete
        return served, answer.retry_after_s

    async def _send(self, request: PromptRequest, answer: PromptAnswer) -> None:
        """Send a request, and receive what becomes of it.

        Raises:
            ConnectionLost, MalformedAnswer: The connection failed or the answer is not complete.
        """
        if self._book is None:
            address = self._random.choice([one.caller_address for one in self._site.instances])
            await send_prompt(address, request, answer)
            return
        while True:
            await self._book.resolve()
            for address in self._random.sample(self._book.addresses, len(self._book.addresses)):
                try:
                    await send_prompt(address, request, answer)
                except ConnectionRefused:
                    self._book.drop(address)
                else:
                    return
            await asyncio.sleep(RECONNECT_PAUSE_S)
