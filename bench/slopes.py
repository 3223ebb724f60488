"""Repeats all measurements behind the slopes in ``docs/CAPACITY.md``; run with ``make slopes``.

The parts print their own tables. They run one after the other, so that none slows another.
"""

from __future__ import annotations

import runpy
import sys
from typing import Final

PARTS: Final = (
    ("bench.message_sizes", ()),
    ("bench.router_cost", ()),
    ("bench.membership_rounds", ("14",)),
    ("bench.membership_rounds", ("350",)),
    ("bench.membership_cost", ("5", "14", "40")),
    ("bench.operation_cost", ()),
    ("bench.decision_cost", ()),
    ("bench", ("costs", "limits")),
)
"""Modules with their arguments."""


def main() -> None:
    """Run all parts."""
    for module, arguments in PARTS:
        print(f"\n## python -m {module} {' '.join(arguments)}".rstrip(), flush=True)
        sys.argv = [module, *arguments]
        runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
