"""Markdown tables of outcomes over several seeds."""

from __future__ import annotations

from statistics import mean
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from bench.runs import Outcome
    from bench.workload import Site

TIER_WEIGHTS: Final = (3, 2, 1)
"""Weights of the tiers' attainment in the score, highest tier first."""
ATTAINMENT_SHARES: Final = {"agence": 0.8, "cotopaxi": 0.3}
"""Weight of attainment in a site's score; the rest is goodput reduced by discarded work."""


def format_spread(values: Sequence[float], *, scale: float = 100.0, digits: int = 1) -> str:
    """Return the mean, with the minimum and maximum unless these are nearly equal."""
    low, high = min(values) * scale, max(values) * scale
    middle = f"{mean(values) * scale:.{digits}f}"
    if high - low < 10**-digits / 2:
        return middle
    return f"{middle} ({low:.{digits}f}–{high:.{digits}f})"


def compute_score(site: Site, outcome: Outcome, oracle: Outcome) -> float:
    """Return the score of an outcome for a site; 1 is all targets met at the oracle's goodput."""
    weighted = [
        weight * attained
        for weight, attained in zip(TIER_WEIGHTS, outcome.attained.values(), strict=True)
    ]
    attainment = sum(weighted) / sum(TIER_WEIGHTS)
    goodput = outcome.goodput / max(1e-9, oracle.goodput) * (1.0 - outcome.wasted)
    share = ATTAINMENT_SHARES[site.name]
    return share * attainment + (1.0 - share) * goodput


def print_row(cells: Sequence[str]) -> None:
    """Print one row of a table."""
    print("| " + " | ".join(cells) + " |")


def print_head(cells: Sequence[str]) -> None:
    """Print the header of a table."""
    print_row(cells)
    print_row(["---"] * len(cells))


def print_policies(site: Site, outcomes: dict[str, list[Outcome]], oracles: list[Outcome]) -> None:
    """Print the table of one scenario, with one row for each policy."""
    classes = [each.name for each in site.classes]
    print_head(
        [
            "policy",
            *(f"{name} %" for name in classes),
            "goodput / oracle %",
            "wasted %",
            "attempts / request",
            "least finished in 60 s",
            "score",
        ]
    )
    for name, runs in outcomes.items():
        ratios = [run.goodput / max(1e-9, o.goodput) for run, o in zip(runs, oracles, strict=True)]
        scores = [compute_score(site, run, o) for run, o in zip(runs, oracles, strict=True)]
        least = [min(run.least_finished[each] for run in runs) for each in classes]
        print_row(
            [
                name,
                *(format_spread([run.attained[each] for run in runs]) for each in classes),
                format_spread(ratios),
                format_spread([run.wasted for run in runs], digits=2),
                f"{mean(run.amplification for run in runs):.3f}",
                "/".join(str(count) for count in least),
                f"{mean(scores):.3f}",
            ]
        )
    print()


def print_keepers(outcomes: dict[str, list[Outcome]]) -> None:
    """Print asks, grants and pauses, with one row for each policy."""
    columns: dict[str, Callable[[Outcome], float]] = {
        "interactive %": lambda run: 100 * run.attained["interactive"],
        "standard %": lambda run: 100 * run.attained["standard"],
        "asks / request": lambda run: run.asks,
        "unused grants / request": lambda run: run.unused_grants,
        "pauses / request": lambda run: run.pauses,
        "top tier refused under a lower one %": lambda run: 100 * run.inverted,
    }
    print_head(["policy", *columns])
    for name, runs in outcomes.items():
        print_row(
            [
                name,
                *(
                    format_spread([read(run) for run in runs], scale=1.0, digits=2)
                    for read in columns.values()
                ),
            ]
        )
    print()
