"""The command line: parses it, runs one command and reports its errors."""

from __future__ import annotations

import contextlib
import io
import sys
from typing import TYPE_CHECKING, Final

import fire
from fire.core import FireExit

from guavamast.commands import COMMANDS, EXIT_FAILED, EXIT_OK, EXIT_USAGE, Task, run_task
from guavamast.errors import ErrorCode, GuavamastError
from guavamast.findings import FindingsError
from guavamast.schema import suggest

if TYPE_CHECKING:
    from collections.abc import Sequence

EXIT_CONFLICT: Final = 3
EXIT_UNKNOWN: Final = 4
_EXIT_INTERRUPTED: Final = 130
_EXIT_CODES: Final = {
    ErrorCode.USAGE: EXIT_USAGE,
    ErrorCode.CONFIGURATION_INVALID: EXIT_USAGE,
    ErrorCode.PLAN_CONFLICT: EXIT_CONFLICT,
    ErrorCode.OUTCOME_UNKNOWN: EXIT_UNKNOWN,
}
"""Exit code of each error code that has one of its own."""
_HELP_WORDS: Final = ("-h", "--help", "help")
_SWITCHES: Final = ("--json", "--undo", "--serve")
"""Options without a value; fire would take the next word for theirs."""


def main(argv: Sequence[str] | None = None) -> None:
    """Run the command line and exit."""
    sys.exit(run(sys.argv[1:] if argv is None else argv))


def run(argv: Sequence[str]) -> int:
    """Run one command.

    Args:
        argv: The words after the program's name.

    Returns:
        The exit code.
    """
    words = [word for word in argv if word not in _HELP_WORDS]
    if len(words) < len(argv) or not argv:
        print(describe_commands(words[:1]))
        return EXIT_OK if argv else EXIT_USAGE
    try:
        return run_task(parse(argv))
    except FindingsError as error:
        _complain("\n".join(map(str, error.findings)))
        return EXIT_USAGE
    except GuavamastError as error:
        return report_error(error, argv)
    except KeyboardInterrupt:
        return _EXIT_INTERRUPTED
    except OSError as error:
        _complain(f"{ErrorCode.INTERNAL} {error.strerror or error}")
        return EXIT_FAILED


def parse(argv: Sequence[str]) -> Task:
    """Return the command that the words name, without running it.

    Raises:
        GuavamastError: With code ``usage``.
    """
    if "--" in argv:
        raise GuavamastError(ErrorCode.USAGE, "-- is not taken")
    # Given the whole table, fire would also take the names of a dictionary's methods as commands.
    if argv[0] not in COMMANDS:
        hint = suggest(argv[0], COMMANDS)
        raise GuavamastError(ErrorCode.USAGE, f"{argv[0]!r}{hint}")
    words = [f"{word}=True" if word in _SWITCHES else word for word in argv[1:]]
    # fire prints its own report, in colours and over many lines, before it raises.
    printed = io.StringIO()
    try:
        with contextlib.redirect_stderr(printed), contextlib.redirect_stdout(printed):
            task = fire.Fire(COMMANDS[argv[0]], command=words, name="guavamast")
    except FireExit:
        raise GuavamastError(ErrorCode.USAGE, find_complaint(printed.getvalue())) from None
    except GuavamastError:
        raise
    except Exception as error:
        # fire takes words for members of a function and calls these; no command has begun yet.
        raise GuavamastError(ErrorCode.USAGE, f"the command line is wrong: {error}") from None
    if not isinstance(task, Task):
        raise GuavamastError(ErrorCode.USAGE, f"{' '.join(argv)} is not a command")
    return task


def find_complaint(printed: str) -> str:
    """Return the sentence of fire's report that says what is wrong."""
    lines = [line for line in printed.splitlines() if "ERROR:" in line]
    sentence = lines[0].partition("ERROR:")[2] if lines else "the command line is wrong"
    plain = sentence.replace("\x1b[0m", "").strip()
    return f"{plain}; guavamast --help shows the commands"


def describe_commands(names: Sequence[str]) -> str:
    """Return how commands are used: the named ones, or all."""
    chosen = [name for name in names if name in COMMANDS] or list(COMMANDS)
    lines = [f"  {(COMMANDS[name].__doc__ or '').rstrip('.')}" for name in chosen]
    return "\n".join(["guavamast COMMAND ...", "", *lines])


def report_error(error: GuavamastError, argv: Sequence[str]) -> int:
    """Print an error with what came with it and return its exit code."""
    details = getattr(error, "details", {})
    for finding in details.get("findings", []):
        # The instance knows the text as "configuration"; the operator knows its file.
        file = argv[1] if argv[0] == "plan" else finding.get("file")
        place = f"{file}:{finding.get('line')}"
        _complain(f"{place}: {finding.get('code')} {finding.get('message')}")
    if not details.get("findings"):
        _complain(f"{error.code} {error.message}")
    if error.code is ErrorCode.PLAN_CONFLICT and details:
        from guavamast.text_output import show_conflict

        _complain(show_conflict(details))
    return _EXIT_CODES.get(error.code, EXIT_FAILED)


def _complain(text: str) -> None:
    print(text, file=sys.stderr)
