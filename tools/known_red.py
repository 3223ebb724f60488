"""Known failures: the entries of KNOWN-RED.txt, and what is wrong with them.

An entry is a line ``subject | command and seed | what was seen | issue``. How the subject begins
tells what the entry excuses:

========================  ========================================================================
subject                   meaning
========================  ========================================================================
test id                   the test fails in each run; that is tolerated, and a pass fails the run
``sometimes`` test id     the test fails in some runs; both are tolerated
``seen`` test or module   was seen failing; nothing is excused, a failure fails the run
``play``, ``soak``,       finding of a run outside of the tests; excuses nothing
``review``
========================  ========================================================================
"""

from __future__ import annotations

import enum
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

EXCUSED_TESTS_LIMIT: Final = 3
"""Number of tests whose failure may be tolerated."""
ENTRY_LENGTH_LIMIT: Final = 400
"""Characters of an entry."""
FIELD_COUNT: Final = 4
ISSUES: Final = re.compile(r"[1-9]\d*(, [1-9]\d*)*")


class Kind(enum.Enum):
    """What an entry says of its subject; the value is the first word of the subject."""

    FAILING = ""
    FLAKY = "sometimes"
    SEEN = "seen"
    PLAY = "play"
    SOAK = "soak"
    REVIEW = "review"

    @property
    def is_excused(self) -> bool:
        """Whether a failure of the subject is tolerated."""
        return self in (Kind.FAILING, Kind.FLAKY)


@dataclass(slots=True, kw_only=True)
class KnownFailure:
    """One entry."""

    line: str
    """The entry as written."""
    kind: Kind
    subject: str
    """Test id, module or name of a run; without the word of the kind."""
    faults: list[str]
    """What is wrong with the form of the entry; empty if nothing is."""

    def find_fault(self, *, ids: list[str], failed: set[str]) -> str | None:
        """Return how the entry contradicts a run, None if it doesn't.

        Args:
            ids: All tests of the run.
            failed: The failed tests of the run.
        """
        if self.kind is Kind.SEEN:
            known = any(f"{test_id}.".startswith(f"{self.subject}.") for test_id in ids)
        else:
            known = not self.kind.is_excused or self.subject in ids
        if not known:
            return f"KNOWN-RED.txt names a test that does not exist: {self.subject}"
        if self.kind is Kind.FAILING and self.subject not in failed:
            return f"KNOWN-RED.txt names a test that passes: {self.subject}"
        return None


def parse_entry(line: str) -> KnownFailure:
    """Return an entry with the faults of its form."""
    fields = [field.strip() for field in line.split("|")]
    word, _, rest = fields[0].partition(" ")
    kind = next((kind for kind in Kind if kind.value == word), Kind.FAILING)
    subject = fields[0] if kind is Kind.FAILING else rest.strip()
    faults = []
    if len(fields) != FIELD_COUNT:
        faults.append(f"{len(fields)} fields, not {FIELD_COUNT}")
    if not all([subject, *fields]):
        faults.append("an empty field")
    if not ISSUES.fullmatch(fields[-1]):
        faults.append("the last field is no issue number")
    if len(line) > ENTRY_LENGTH_LIMIT:
        faults.append(f"{len(line)} characters, {ENTRY_LENGTH_LIMIT} at most")
    return KnownFailure(line=line, kind=kind, subject=subject, faults=faults)


def parse_entries(text: str) -> list[KnownFailure]:
    """Return the entries of a file; blank lines and comments (``#``) are none."""
    lines = [line.strip() for line in text.splitlines()]
    return [parse_entry(line) for line in lines if line and not line.startswith("#")]


def collect_excused_ids(entries: Iterable[KnownFailure]) -> set[str]:
    """Return the ids of the tests whose failure is tolerated."""
    return {entry.subject for entry in entries if entry.kind.is_excused}


def find_list_faults(entries: list[KnownFailure]) -> list[str]:
    """Return what is wrong with the list itself, whatever the run shows."""
    faults = [
        f"KNOWN-RED.txt: {fault}: {entry.line[:100]}" for entry in entries for fault in entry.faults
    ]
    excused = len(collect_excused_ids(entries))
    if excused > EXCUSED_TESTS_LIMIT:
        faults.append(f"KNOWN-RED.txt excuses {excused} tests, {EXCUSED_TESTS_LIMIT} at most")
    return faults
