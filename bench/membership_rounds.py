"""Spread of updates and failure detection, with the decision objects and without a network.

Run with ``python -m bench.membership_rounds [COUNT ...]``. A step is one message over a stream, and
a round is one heartbeat period. Streams forward updates immediately, so a step takes milliseconds.
"""

from __future__ import annotations

import sys
import time
from collections import deque
from random import Random
from statistics import fmean
from typing import TYPE_CHECKING, Final

from bench.exchange_loop import ExchangeLoop, build_instance
from guavamast.configuration_spread import Source
from guavamast.members import Member, MemberState
from guavamast.membership import Membership, MembershipTiming
from guavamast.overlay import Overlay

if TYPE_CHECKING:
    from collections.abc import Collection

SIZES: Final = (14, 350)
DAYS: Final = 10
DAY_S: Final = 86_400
STALLS_PER_DAY: Final = 144.0
"""Assumption: an instance stalls once in ten minutes."""
STALL_SCALE_S: Final = 0.3
STALL_SHAPE: Final = 1.5
"""Assumed Pareto stall lengths: at least 0.3 s, one in 32 above 3 s, one in 90 above 6 s."""


def build_loop(count: int) -> ExchangeLoop:
    """Return instances in three regions and seven failure domains that agree on their members."""
    loop = ExchangeLoop(
        instances=[
            build_instance(f"i{n:03}", region=f"region{n % 7 % 3}", domain=f"d{n % 7}")
            for n in range(count)
        ]
    )
    for node in loop.nodes.values():
        node.spread.record_head(0, now=0.0)
    while not loop.has_converged():
        loop.run_round()
    for _ in range(3):
        loop.run_round()
    return loop


def measure_configuration(count: int) -> None:
    """Print the steps until a full configuration, then a small change, reaches all instances."""
    loop = build_loop(count)
    text = "".join(f"[organisation o{n}]\nconcurrent = {n}\n" for n in range(20_000))
    changed = text.replace("concurrent = 9999\n", "concurrent = 1\n")
    for version, body in ((1, text), (2, changed)):
        sent = loop.bytes_sent
        first = next(iter(loop.nodes.values()))
        first.spread.accept(version, body, source=Source.PLATFORM, now=loop.now)
        steps = 0
        while any(node.spread.version < version for node in loop.nodes.values()):
            steps += 1
            if not loop.run_step(urgent=True):
                loop.run_round()
        each = (loop.bytes_sent - sent) / count
        print(
            f"{count=} configuration of {len(body)} characters, {version=}: {steps=} {each=:.0f} B"
        )


def measure_idle(count: int) -> None:
    """Print bytes and processor time of a round, idle and with randomly changing loads."""
    random = Random(1)
    for busy in (False, True):
        loop = build_loop(count)
        sent, messages, started = 0, 0, 0.0
        for number in range(100):
            if number == 70:
                sent, messages = loop.bytes_sent, loop.messages_sent
                started = time.process_time()
            if busy:
                for node in loop.nodes.values():
                    node.membership.set_load(random.randint(0, 60))
            loop.run_round()
        cpu_us = (time.process_time() - started) / count / 30 * 1e6
        payload = (loop.bytes_sent - sent) / count / 30
        number = (loop.messages_sent - messages) / count / 30
        print(
            f"{count=} {busy=} sent a round: {payload:.0f} B {number:.1f} messages {cpu_us:.0f} us"
        )


def measure_faults(count: int) -> None:
    """Print the rounds and bytes until all instances agree again after faults."""
    loop = build_loop(count)
    _print_convergence("killed, connections refused", loop, lambda: loop.kill("i003"))
    domain = [name for name in loop.nodes if int(name[1:]) % 7 == 4]
    _print_convergence("a failure domain killed", loop, lambda: [loop.kill(n) for n in domain])
    _print_convergence("and started again", loop, lambda: [loop.start(n) for n in domain])
    paused = [name for name in loop.nodes if int(name[1:]) % 3 == 1]
    for name in paused:
        loop.nodes[name].running = False
    _print_convergence("a third stopped", loop, lambda: None)
    for name in paused:
        loop.nodes[name].running = True
    _print_convergence("and running again", loop, lambda: None)
    loop.is_partitioned = lambda a, b: (int(a[1:]) % 7 % 3 == 0) != (int(b[1:]) % 7 % 3 == 0)
    for _ in range(30):
        loop.run_round()
    loop.is_partitioned = lambda _a, _b: False
    _print_convergence("a region cut off for 30 rounds and back", loop, lambda: None)


def _print_convergence(label: str, loop: ExchangeLoop, inject_fault: object) -> None:
    inject_fault()
    sent, rounds, peak = loop.bytes_sent, 0, 0
    while not loop.has_converged() and rounds < 200:
        before = loop.bytes_sent
        loop.run_round()
        peak = max(peak, loop.bytes_sent - before)
        rounds += 1
    each = (loop.bytes_sent - sent) / len(loop.nodes)
    peak_each = peak / len(loop.nodes)
    print(f"{len(loop.nodes)} running, {label}: {rounds=} {each=:.0f} B {peak_each=:.0f} B a round")


def measure_overlay(count: int) -> None:
    """Print degrees, diameter, and how often the overlay stays connected after random failures."""
    overlay = Overlay()
    regions = {f"i{n:03}": f"region{n % 7 % 3}" for n in range(count)}
    links = {name: overlay.find_neighbours(name, regions) for name in regions}
    degrees = [len(found) for found in links.values()]
    diameter = max(max(_measure_distances(links, name).values()) for name in links)
    print(f"{count=} degree {min(degrees)}..{max(degrees)} mean {fmean(degrees):.2f} {diameter=}")
    random = Random(1)
    for share in (1 / 7, 1 / 3):
        connected = 0
        for _ in range(200):
            left = set(random.sample(sorted(links), round(count * (1 - share))))
            kept = {name: links[name] & left for name in left}
            connected += len(_measure_distances(kept, min(left))) == len(left)
        print(f"{count=} connected without {share:.0%} at random: {connected} of 200")


def _measure_distances(links: dict[str, Collection[str]], start: str) -> dict[str, int]:
    distances = {start: 0}
    queue = deque([start])
    while queue:
        name = queue.popleft()
        for other in links[name]:
            if other not in distances:
                distances[other] = distances[name] + 1
                queue.append(other)
    return distances


def measure_detection(suspect_after_s: float) -> None:
    """Print the false suspicions of an instance that stalls, and the time to detect a failure."""
    random = Random(1)
    timing = MembershipTiming(suspect_after_s=suspect_after_s)
    observer = Membership(me=build_instance("a"), incarnation=1, now=0.0, timing=timing)
    latest = Member(
        instance=build_instance("b"),
        incarnation=1,
        state=MemberState.LIVE,
        heartbeat=0,
        configuration_version=0,
    )
    suspected = gone = 0
    stalled_until = 0.0
    state = MemberState.LIVE
    for second in range(1, DAYS * DAY_S):
        if random.random() < STALLS_PER_DAY / DAY_S:
            length = STALL_SCALE_S * random.paretovariate(STALL_SHAPE)
            stalled_until = max(stalled_until, second + length)
        if second >= stalled_until:
            observed = observer.get("b")
            refuted = observed is not None and observed.state != MemberState.LIVE
            incarnation = observed.incarnation + 1 if refuted else latest.incarnation
            latest = _raise_heartbeat(latest, incarnation)
            observer.merge([latest], now=float(second))
        observer.tick(now=float(second))
        observed = observer.get("b")
        suspected += observed.state == MemberState.SUSPECT and state == MemberState.LIVE
        gone += observed.state == MemberState.GONE and state != MemberState.GONE
        state = observed.state
    print(
        f"{suspect_after_s=} gone_after_s={timing.gone_after_s} a day and pair: suspected "
        f"{suspected / DAYS:.1f} gone {gone / DAYS:.1f}; silent until gone {_detection_s(timing)} s"
    )


def _raise_heartbeat(member: Member, incarnation: int) -> Member:
    return Member(
        instance=member.instance,
        incarnation=incarnation,
        state=MemberState.LIVE,
        heartbeat=member.heartbeat + 1,
        configuration_version=0,
    )


def _detection_s(timing: MembershipTiming) -> int:
    observer = Membership(me=build_instance("a"), incarnation=1, now=0.0, timing=timing)
    observer.merge(
        [
            Member(
                instance=build_instance("b"),
                incarnation=1,
                state=MemberState.LIVE,
                heartbeat=1,
                configuration_version=0,
            )
        ],
        now=0.0,
    )
    second = 0
    while observer.get("b").state != MemberState.GONE:
        second += 1
        observer.tick(now=float(second))
    return second - 1


def main() -> None:
    """Print all measurements."""
    for count in [int(text) for text in sys.argv[1:]] or SIZES:
        measure_overlay(count)
        measure_configuration(count)
        measure_idle(count)
        measure_faults(count)
    for suspect_after_s in (1.0, 2.0, 3.0, 5.0, 8.0):
        measure_detection(suspect_after_s)


if __name__ == "__main__":
    main()
