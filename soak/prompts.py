"""Callers of prompts that share all parts but one, of which one ends engines, and their checks."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from guavamast.platform.standins.lethal_requests import LethalEnding
from guavamast.platform.standins.site import STREAM_PREFIX
from guavamast.relay.http_connection import ConnectionLost, MalformedAnswer
from guavamast.relay.quarantine.guard import MIN_RETRY_AFTER_S
from soak.guarantees import (
    MAX_LATER_PART_RUNS,
    SPREAD_BOUND_S,
    RequestRecord,
    RunRecord,
    Span,
    find_fifth_end,
    is_undisturbed,
)
from soak.prompt_requests import PromptAnswer, PromptRequest, send_prompt

if TYPE_CHECKING:
    from random import Random

    from soak.instances import Instance
    from soak.site import SoakSite

LETHAL_PART: Final = "dead"
COMMON_PART: Final = "c0"
SECOND_PARTS: Final = 5
"""Parts of which sound prompts have one each."""
CALM_S: Final = 2.0
"""Seconds of sound prompts alone."""
SOUND_PAUSE_S: Final = 0.05
LETHAL_PAUSES_S: Final = (0.1, 0.3, 0.6, 1.0)
"""Pauses between two requests with the lethal part."""
TIMEOUT_S: Final = 4.0
PART_TOKENS: Final = 100
MIN_COUNTED: Final = 20
"""Sound requests of each kind below which their success is not compared."""
MIN_SOUND_SHARE: Final = 0.75
"""Share of their calm success that sound requests keep: half is asked for."""


class PromptCrowd:
    """Sends sound prompts, and from some time on lethal ones beside, to random instances.

    Args:
        site: The site.
        random: Chooses instances, prompts, pauses, and how engines end.
    """

    def __init__(self, *, site: SoakSite, random: Random) -> None:
        self._site = site
        self._random = random
        self._lethal_first = random.random() < 0.5
        self.ending = random.choice(list(LethalEnding))
        """How engines end under the lethal part."""
        self.requests: list[RequestRecord] = []
        """The sound requests."""
        self.senders: dict[str, Instance] = {}
        """Instance to which each lethal request was sent, by request id."""
        self._count = 0

    async def run(self, until: float) -> None:
        """Send requests until a time of the monotonic clock."""
        self._site.lethal.parts[LETHAL_PART] = self.ending
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._send_sound(tasks, until))
            await asyncio.sleep(CALM_S)
            tasks.create_task(self._send_lethal(tasks, until))

    def find_violations(
        self, runs: list[RunRecord], disruptions: list[Span], *, until: float
    ) -> list[str]:
        """Return how requests with the lethal part harmed others.

        Args:
            runs: All runs of all engines.
            disruptions: Disruptions of anything.
            until: Time at which no more of them were sent.
        """
        lethal = [run for run in runs if run.lethal_part == LETHAL_PART]
        fifth_at = find_fifth_end(lethal)
        violations = []
        if fifth_at is not None:
            later = [run for run in lethal if self._counts(run, fifth_at)]
            if len(later) > MAX_LATER_PART_RUNS:
                violations.append(
                    f"requests with a part under which five engines had ended ran {len(later)} "
                    f"times more ({self.ending})"
                )
        last_at = fifth_at or max((run.started_at for run in lethal), default=until)
        return violations + self._find_lost(disruptions, settled_at=last_at + 2 * SPREAD_BOUND_S)

    def _counts(self, run: RunRecord, fifth_at: float) -> bool:
        return run.started_at > fifth_at + SPREAD_BOUND_S and is_undisturbed(
            self.senders[run.request_id].disruptions,
            run.started_at,
            run.started_at,
            after_s=SPREAD_BOUND_S,
        )

    def _find_lost(self, disruptions: list[Span], *, settled_at: float) -> list[str]:
        calm_until = self.requests[0].sent_at + CALM_S if self.requests else 0.0
        undisturbed = [
            one for one in self.requests if is_undisturbed(disruptions, one.sent_at, one.ended_at)
        ]
        calm = [one.served for one in undisturbed if one.ended_at < calm_until]
        after = [one.served for one in undisturbed if one.sent_at > settled_at]
        if min(len(calm), len(after)) < MIN_COUNTED:
            return []
        if sum(after) / len(after) >= MIN_SOUND_SHARE * sum(calm) / len(calm):
            return []
        return [
            f"{sum(after)} of {len(after)} sound requests were served beside a lethal part, "
            f"{sum(calm)} of {len(calm)} before"
        ]

    async def _send_sound(self, tasks: asyncio.TaskGroup, until: float) -> None:
        while time.monotonic() < until:
            second = f"c{self._random.randint(1, SECOND_PARTS)}"
            tasks.create_task(self._ask_soundly((COMMON_PART, second)))
            await asyncio.sleep(SOUND_PAUSE_S)

    async def _send_lethal(self, tasks: asyncio.TaskGroup, until: float) -> None:
        while time.monotonic() < until:
            second = f"c{self._random.randint(1, SECOND_PARTS)}"
            parts = (LETHAL_PART, second) if self._lethal_first else (COMMON_PART, LETHAL_PART)
            tasks.create_task(self._ask_lethally(parts))
            await asyncio.sleep(self._random.choice(LETHAL_PAUSES_S))

    async def _ask_lethally(self, parts: tuple[str, ...]) -> None:
        self._count += 1
        request = _build_request(f"part-{self._count}", parts)
        instance = self._random.choice(self._site.instances)
        self.senders[request.request_id] = instance
        # What it gets is of no interest: engines record what reaches them.
        await _ask(instance.caller_address, request)

    async def _ask_soundly(self, parts: tuple[str, ...]) -> None:
        self._count += 1
        request = _build_request(f"sound-{self._count}", parts)
        address = self._random.choice(self._site.instances).caller_address
        sent_at = time.monotonic()
        answer = await _ask(address, request)
        record = answer.build_record(request, sent_at=sent_at)
        quarantined = (answer.retry_after_s or 0.0) >= MIN_RETRY_AFTER_S
        self.requests.append(replace(record, quarantined=quarantined))


def _build_request(request_id: str, parts: tuple[str, ...]) -> PromptRequest:
    """Return a request with a last part of its own."""
    own = request_id.encode().hex()[-16:]
    return PromptRequest(
        request_id=request_id,
        path_prefix=f"{STREAM_PREFIX}stream/",
        prompt=",".join(f"{part}:{PART_TOKENS}" for part in (*parts, own)),
        tokens=PART_TOKENS * (len(parts) + 1),
        timeout_s=TIMEOUT_S,
    )


async def _ask(address: str, request: PromptRequest) -> PromptAnswer:
    answer = PromptAnswer()
    with suppress(ConnectionLost, MalformedAnswer, TimeoutError):
        async with asyncio.timeout(TIMEOUT_S):
            await send_prompt(address, request, answer)
    return answer
