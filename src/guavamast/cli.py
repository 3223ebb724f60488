"""The command line: parses arguments, runs a command and reports errors."""

from __future__ import annotations

import contextlib
import io
import sys
from typing import TYPE_CHECKING, Final

import fire
from fire.core import FireExit

from guavamast.commands import COMMANDS, EXIT_FAILED, EXIT_USAGE
from guavamast.errors import ErrorCode, GuavamastError
from guavamast.findings import FindingsError
from guavamast.schema import format_suggestion
from guavamast.task import EXIT_OK, Task, run_task

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
"""Exit codes of specific error codes; all others exit with `EXIT_FAILED`."""
_HELP_ARGUMENTS: Final = ("-h", "--help", "help")
_FLAGS: Final = ("--json", "--undo", "--serve")
"""Options without a value; fire would consume the next word as one."""


def main(argv: Sequence[str] | None = None) -> None:
    """Run the command line and exit."""
    sys.exit(run(sys.argv[1:] if argv is None else argv))


def run(argv: Sequence[str]) -> int:
    """Run one command.

    Args:
        argv: The arguments after the program's name.

    Returns:
        The exit code.
    """
    words = [word for word in argv if word not in _HELP_ARGUMENTS]
    if len(words) < len(argv) or not argv:
        print(describe_commands(words[:1]))
        return EXIT_OK if argv else EXIT_USAGE
    try:
        return run_task(parse(argv))
    except FindingsError as error:
        _print_error("\n".join(map(str, error.findings)))
        return EXIT_USAGE
    except GuavamastError as error:
        return report_error(error, argv)
    except KeyboardInterrupt:
        return _EXIT_INTERRUPTED
    except OSError as error:
        _print_error(f"{ErrorCode.INTERNAL} {error.strerror or error}")
        return EXIT_FAILED


def parse(argv: Sequence[str]) -> Task:
    """Parse the command line into a task, without running it.

    Raises:
        GuavamastError: With code ``usage``.
    """
    if "--" in argv:
        raise GuavamastError(ErrorCode.USAGE, "-- is not supported")
    # With the whole dictionary, fire would also accept names of its methods as commands.
    if argv[0] not in COMMANDS:
        hint = format_suggestion(argv[0], COMMANDS)
        raise GuavamastError(ErrorCode.USAGE, f"{argv[0]!r}{hint}")
    words = [f"{word}=True" if word in _FLAGS else word for word in argv[1:]]
    # fire prints a coloured report of many lines before it raises.
    printed = io.StringIO()
    try:
        with contextlib.redirect_stderr(printed), contextlib.redirect_stdout(printed):
            task = fire.Fire(COMMANDS[argv[0]], command=words, name="guavamast")
    except FireExit:
        raise GuavamastError(ErrorCode.USAGE, extract_error_message(printed.getvalue())) from None
    except GuavamastError:
        raise
    except Exception as error:
        # fire resolves words as members of the function and calls them; no command has started.
        raise GuavamastError(ErrorCode.USAGE, f"invalid command line: {error}") from None
    if not isinstance(task, Task):
        raise GuavamastError(ErrorCode.USAGE, f"{' '.join(argv)} is not a command")
    return task


def extract_error_message(printed: str) -> str:
    """Return the error message from fire's report."""
    lines = [line for line in printed.splitlines() if "ERROR:" in line]
    sentence = lines[0].partition("ERROR:")[2] if lines else "invalid command line"
    plain = sentence.replace("\x1b[0m", "").strip()
    return f"{plain}; guavamast --help shows the commands"


def describe_commands(names: Sequence[str]) -> str:
    """Return the usage of the named commands, or of all."""
    chosen = [name for name in names if name in COMMANDS] or list(COMMANDS)
    lines = [f"  {(COMMANDS[name].__doc__ or '').rstrip('.')}" for name in chosen]
    return "\n".join(["guavamast COMMAND ...", "", *lines])


def report_error(error: GuavamastError, argv: Sequence[str]) -> int:
    """Print an error and its details, and return the exit code."""
    details = getattr(error, "details", {})
    for finding in details.get("findings", []):
        # The instance calls the text "configuration"; the operator needs the file's name.
        file = argv[1] if argv[0] == "plan" else finding.get("file")
        location = f"{file}:{finding.get('line')}"
        _print_error(f"{location}: {finding.get('code')} {finding.get('message')}")
    if not details.get("findings"):
        _print_error(f"{error.code} {error.message}")
    if error.code is ErrorCode.PLAN_CONFLICT and details:
        from guavamast.text_output import format_conflict

        _print_error(format_conflict(details))
    return _EXIT_CODES.get(error.code, EXIT_FAILED)


def _print_error(text: str) -> None:
    print(text, file=sys.stderr)
