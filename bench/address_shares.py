"""Load balance over instances while callers cache addresses, simulated without sockets.

Run with ``python -m bench.address_shares``. Prints for several address policies the largest load
over the mean, and the standard deviation over the mean, both averaged over the second half of the
run.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random
from statistics import fmean, pstdev
from typing import TYPE_CHECKING, Final

from bench.exchange_loop import build_instance
from guavamast import addresses
from guavamast.addresses import choose_addresses
from guavamast.members import Member, MembershipView, MemberState

if TYPE_CHECKING:
    from collections.abc import Callable

INSTANCES: Final = 14
DURATION_S: Final = 240
VALIDITY_S: Final = 10.0
REQUEST_S: Final = 8.0
"""Mean duration of a request."""
REQUESTS_PER_SECOND: Final = 250.0
SLOW_FACTOR: Final = 3.0
"""Factor on the duration of requests at the first instance in runs with a slow instance."""


@dataclass(slots=True, kw_only=True)
class Caller:
    """A client process that caches the first address of a response until it expires."""

    rate: float
    """Requests per second."""
    instance_index: int
    """Index of the instance that it requests addresses from."""
    target: str = ""
    valid_until: float = 0.0


def choose_by_decision(view: MembershipView, seed: int, random: Random) -> str:
    """Choose by the production code."""
    del random
    answer = choose_addresses(view, caller_hint="sierra", seed=seed, validity_s=VALIDITY_S)
    return answer.members[0].instance.name


def choose_at_random(view: MembershipView, seed: int, random: Random) -> str:
    """Choose a random instance."""
    del seed
    return random.choice(view.members).instance.name


def choose_least_loaded(view: MembershipView, seed: int, random: Random) -> str:
    """Choose the instance with the lowest reported load."""
    del seed, random
    return min(view.members, key=lambda member: member.load).instance.name


def choose_of_two(view: MembershipView, seed: int, random: Random) -> str:
    """Choose the less loaded of two random instances."""
    del seed
    pair = random.sample(view.members, 2)
    return min(pair, key=lambda member: member.load).instance.name


def simulate(
    choose: Callable[[MembershipView, int, Random], str], *, callers: int, lag_s: int, slow: bool
) -> tuple[float, float]:
    """Return the time averages of largest load and standard deviation, each over the mean.

    Args:
        choose: The policy; returns the name of the chosen instance.
        callers: Client processes; their rates follow Zipf's law.
        lag_s: Age of the loads by which addresses are chosen, in seconds.
        slow: Whether requests take longer at the first instance.
    """
    random = Random(1)
    names = [f"i{number:02}" for number in range(INSTANCES)]
    total = sum(1.0 / (rank + 1) for rank in range(callers))
    clients = [
        Caller(
            rate=REQUESTS_PER_SECOND / (rank + 1) / total,
            instance_index=random.randrange(INSTANCES),
        )
        for rank in range(callers)
    ]
    answer_seeds = [random.randrange(2**31) for _ in names]
    loads = dict.fromkeys(names, 0.0)
    history: list[dict[str, float]] = []
    ratios, spreads = [], []
    for second in range(DURATION_S):
        history.append(dict(loads))
        view = _build_view(history[max(0, second - lag_s)])
        for client in clients:
            if second >= client.valid_until:
                answer_seeds[client.instance_index] += 1
                client.target = choose(view, answer_seeds[client.instance_index], random)
                client.valid_until = second + VALIDITY_S * random.uniform(0.7, 1.0)
            loads[client.target] += client.rate
        for name in names:
            factor = SLOW_FACTOR if slow and name == names[0] else 1.0
            loads[name] -= loads[name] / (REQUEST_S * factor)
        if second > DURATION_S // 2:
            mean = fmean(loads.values())
            ratios.append(max(loads.values()) / mean)
            spreads.append(pstdev(loads.values()) / mean)
    return fmean(ratios), fmean(spreads)


def _build_view(loads: dict[str, float]) -> MembershipView:
    members = tuple(replace(_build_member(name), load=load) for name, load in loads.items())
    return MembershipView(members=members)


def _build_member(name: str) -> Member:
    return Member(
        instance=build_instance(name),
        incarnation=1,
        state=MemberState.LIVE,
        heartbeat=1,
        configuration_version=1,
    )


def main() -> None:
    """Print one line per policy and setting."""
    policies = (choose_at_random, choose_least_loaded, choose_of_two, choose_by_decision)
    for slow in (False, True):
        for callers in (30, 300):
            for lag_s in (2, 15, 60):
                for policy in policies:
                    exponents = (0.0, 0.5, 1.0, 2.0) if policy is choose_by_decision else (0.0,)
                    for exponent in exponents:
                        addresses.LOAD_EXPONENT = exponent
                        ratio, spread = simulate(policy, callers=callers, lag_s=lag_s, slow=slow)
                        label = f"{slow=} {callers=} {lag_s=} {policy.__name__} {exponent=}"
                        print(f"{label} max/mean={ratio:.2f} spread={spread:.2f}", flush=True)


if __name__ == "__main__":
    main()
