"""What to make of loads that are told late."""

from __future__ import annotations

from typing import Final

from guavamast.relay.endpoint_load import Load

TOLD_WEIGHT: Final = 0.5
"""Share that an engine's own work weighs against the mean of its lane when loads are told late:
queues come and go between two tellings."""


def blend_loads(loads: dict[str, Load], lanes: dict[str, int]) -> dict[str, Load]:
    """Return the loads of engines, drawn towards the mean of their lanes.

    Failure: what was told a second ago calls one engine of a lane full and the next idle; by now it
    is often the other way round. Requests are refused at engines that have room, and meet queues
    at those that seemed idle. Between old news and the mean, the truth lies nearer to the mean.
    """
    members: dict[int, list[Load]] = {}
    for endpoint_id, load in loads.items():
        members.setdefault(lanes.get(endpoint_id, 0), []).append(load)
    means = {lane: _compute_mean(those) for lane, those in members.items()}
    return {
        endpoint_id: _blend(load, means[lanes.get(endpoint_id, 0)])
        for endpoint_id, load in loads.items()
    }


def _compute_mean(loads: list[Load]) -> Load:
    number = len(loads)
    return Load(
        requests=sum(load.requests for load in loads) // number,
        prefill_tokens=sum(load.prefill_tokens for load in loads) // number,
    )


def _blend(load: Load, mean: Load) -> Load:
    """Return a load between what was told and the mean.

    Failure: an engine was told full, its lane's mean halves that, it is given more prompts, and its
    memory ends: it stops running requests, some of them more urgent than others that go on. What
    running requests keep in memory, and which are delicate, lasts longer than news, so it counts as
    told.
    """
    rest = 1.0 - TOLD_WEIGHT
    return Load(
        requests=round(TOLD_WEIGHT * load.requests + rest * mean.requests),
        prefill_tokens=round(TOLD_WEIGHT * load.prefill_tokens + rest * mean.prefill_tokens),
        memory_tokens=load.memory_tokens,
        delicate=load.delicate,
    )
