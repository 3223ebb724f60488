"""A parsed command of the command line, before it runs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

EXIT_OK: Final = 0


class Task:
    """A parsed command that has not started.

    Failure: fire calls a command's function before it detects a surplus argument, so
    ``confirm PLAN WORD`` would confirm the plan and then report a usage error. The functions
    only return a task, which runs after the whole command line is parsed.

    Args:
        act: Runs the command and returns its exit code.
    """

    __slots__ = ("_act",)

    def __init__(self, act: Callable[[], int]) -> None:
        self._act = act


def run_task(task: Task) -> int:
    """Run a task and return its exit code."""
    return task._act()
