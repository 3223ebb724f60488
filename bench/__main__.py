"""Benchmarks of the policies; prints Markdown tables and writes plots into docs/plots/.

Usage: ``python -m bench [--seeds N] [--only SECTION]``.
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING, Final

from bench.costs import ENTRY_SIZES, SIZES, measure_allotment, measure_choose
from bench.limit_error import measure_limit
from bench.relay_choice import report_relay
from bench.runs import run_once
from bench.tables import format_spread, print_head, print_keepers, print_policies, print_row
from bench.workload import AGENCE, COTOPAXI, Scenario, Site

if TYPE_CHECKING:
    from bench.runs import Outcome

PROCESSES: Final = 2
PLOTS: Final = Path(__file__).resolve().parent.parent / "docs" / "plots"
SITES: Final = (AGENCE, COTOPAXI)
COMPARED: Final = (
    "guavamast",
    "random",
    "round robin",
    "least load",
    "first come",
    "oracle",
)
KEEPERS: Final = ("guavamast", "one keeper", "two at once", "probes 1 s old", "probes 5 s old")
BURSTS: Final = (1.0, 2.0, 4.0)
LAGS_S: Final = (0.1, 1.0, 5.0)
LIMITS: Final = ((10.0, 40), (10.0, 10), (200.0, 800), (200.0, 200))
LOADS: Final = (0.5, 0.9, 2.0)

Runs = dict[tuple[str, str, str], list["Outcome"]]
"""Outcomes by site, scenario and policy."""


def list_scenarios(site: Site) -> list[Scenario]:
    """Return the scenarios of a site."""
    engine_kinds = [kind for kind in site.kinds if not kind.service]
    by_class = {kind.class_name: kind.name for kind in engine_kinds}
    bursts = [
        Scenario(name=f"{name} burst {load:.0f}x", burst_kind=by_class[name], burst_load=load)
        for name in ("batch", "standard", "interactive")
        for load in (BURSTS if name != "standard" else (2.0,))
    ]
    return [
        Scenario(name="calm"),
        *bursts,
        Scenario(name="two stragglers", stragglers=2),
        Scenario(name="a third crashed", crash_share=1 / 3),
        *(Scenario(name=f"reports {lag:.1f} s late", report_lag_s=lag) for lag in LAGS_S),
    ]


def run_all(jobs: list[tuple[Site, Scenario, str]], seeds: range) -> Runs:
    """Run each job with each seed, in ``PROCESSES`` processes."""
    combinations = [
        (site, scenario, policy, seed) for site, scenario, policy in jobs for seed in seeds
    ]
    runs: Runs = {}
    with ProcessPoolExecutor(PROCESSES) as executor:
        outcomes = executor.map(run_once, *zip(*combinations, strict=True))
        for (site, scenario, policy, _), outcome in zip(combinations, outcomes, strict=True):
            runs.setdefault((site.name, scenario.name, policy), []).append(outcome)
    return runs


def report_policies(seeds: range) -> None:
    """Print the tables of policies and plot them."""
    jobs = [
        (site, scenario, policy)
        for site in SITES
        for scenario in list_scenarios(site)
        for policy in COMPARED
    ]
    runs = run_all(jobs, seeds)
    for site in SITES:
        for scenario in list_scenarios(site):
            print(f"### {site.name}: {scenario.name}\n")
            outcomes = {each: runs[site.name, scenario.name, each] for each in COMPARED}
            print_policies(site, outcomes, outcomes["oracle"])
    plot_attainment(runs, "batch burst", [f"batch burst {load:.0f}x" for load in BURSTS], BURSTS)
    plot_attainment(runs, "report lag", [f"reports {lag:.1f} s late" for lag in LAGS_S], LAGS_S)


def report_keepers(seeds: range) -> None:
    """Print the effect of asking more keepers and of older probes."""
    names = ("calm", "batch burst 2x", "standard burst 2x", "a third crashed")
    jobs = [
        (site, scenario, policy)
        for site in SITES
        for scenario in list_scenarios(site)
        if scenario.name in names
        for policy in KEEPERS
    ]
    runs = run_all(jobs, seeds)
    for site in SITES:
        for name in names:
            print(f"### {site.name}: {name}, keepers asked and probes' age\n")
            print_keepers({each: runs[site.name, name, each] for each in KEEPERS})


def report_limits(seeds: range) -> None:
    """Print how exactly an organisation's limits hold."""
    print_head(
        [
            "entries",
            "limit /s",
            "at once",
            "offered / limit",
            "admitted / exact limiter %",
            "worst second / limit",
            "most at once / limit",
            "asks / request",
            "home KB/s",
        ]
    )
    for entries in (14, 350):
        for rate, concurrent in LIMITS:
            for load in LOADS:
                runs = [
                    measure_limit(
                        entries=entries, rate=rate, concurrent=concurrent, load=load, seed=seed
                    )
                    for seed in seeds
                ]
                print_row(
                    [
                        str(entries),
                        f"{rate:.0f}",
                        str(concurrent),
                        f"{load:.1f}",
                        format_spread([run.admitted_share for run in runs]),
                        format_spread([run.worst_second for run in runs], scale=1.0, digits=2),
                        format_spread([run.worst_concurrent for run in runs], scale=1.0, digits=2),
                        format_spread([run.asks_per_request for run in runs], scale=1.0, digits=2),
                        format_spread([run.dispatcher_bytes_per_s for run in runs], scale=0.001),
                    ]
                )
    print()


def report_costs() -> None:
    """Print and plot the processor time of decisions."""
    print_head(["decision", "size", "median us", "99th percentile us", "mean us"])
    chosen = [measure_choose(size) for size in SIZES]
    for cost in chosen:
        print_row(["choose, endpoints", *_format_cost(cost)])
    for size in ENTRY_SIZES:
        print_row(["allotment, entries", *_format_cost(measure_allotment(size))])
    print()
    pyplot = _load_pyplot()
    figure, axes = pyplot.subplots(figsize=(6, 4))
    axes.plot([cost.size for cost in chosen], [cost.median_us for cost in chosen], label="median")
    axes.plot([cost.size for cost in chosen], [cost.p99_us for cost in chosen], label="99th perc.")
    axes.set(
        xlabel="endpoints", ylabel="processor time of choose, us", xscale="log", ylim=(0, None)
    )
    axes.legend()
    figure.savefig(PLOTS / "choose-cost.svg")


def plot_attainment(runs: Runs, name: str, scenarios: list[str], values: tuple) -> None:
    """Plot the top tier's attainment over the scenarios, with ``values`` on the x axis."""
    pyplot = _load_pyplot()
    figure, all_axes = pyplot.subplots(1, len(SITES), figsize=(10, 4), sharey=True)
    for site, axes in zip(SITES, all_axes, strict=True):
        for policy in COMPARED:
            shares = [
                [100 * run.attained["interactive"] for run in runs[site.name, each, policy]]
                for each in scenarios
            ]
            means = [sum(share) / len(share) for share in shares]
            axes.plot(values, means, marker="o", label=policy)
        axes.set(title=site.name, xlabel=name, ylim=(0, 101))
    all_axes[0].set_ylabel("top tier's attainment, %")
    all_axes[0].legend(fontsize="small")
    figure.savefig(PLOTS / f"{name.replace(' ', '-')}.svg")


def _format_cost(cost: object) -> list[str]:
    return [str(cost.size), f"{cost.median_us:.0f}", f"{cost.p99_us:.0f}", f"{cost.mean_us:.0f}"]


def _load_pyplot() -> object:
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "guavamast"
    from matplotlib import pyplot

    PLOTS.mkdir(parents=True, exist_ok=True)
    return pyplot


def main() -> None:
    """Run the chosen sections."""
    parser = argparse.ArgumentParser(prog="bench", description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--only", choices=["policies", "keepers", "limits", "costs", "relay"])
    arguments = parser.parse_args()
    seeds = range(1, arguments.seeds + 1)
    sections = {
        "policies": lambda: report_policies(seeds),
        "keepers": lambda: report_keepers(seeds),
        "limits": lambda: report_limits(seeds),
        "costs": report_costs,
        "relay": report_relay,
    }
    for name, report in sections.items():
        if arguments.only in (None, name):
            print(f"## {name.capitalize()}\n")
            report()


if __name__ == "__main__":
    main()
