"""Findings of a check, each with file and line, that are reported together."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from guavamast.errors import ErrorCode, GuavamastError


class FindingCode(StrEnum):
    """Kind of fault in a file; ``docs/errors.md`` lists the remedy for each."""

    UNREADABLE = "unreadable"
    SYNTAX = "syntax"
    DUPLICATE_SECTION = "duplicate_section"
    DUPLICATE_KEY = "duplicate_key"
    DUPLICATE_VALUE = "duplicate_value"
    DUPLICATE_TIER = "duplicate_tier"
    UNKNOWN_SECTION = "unknown_section"
    UNKNOWN_KEY = "unknown_key"
    MISSING_SECTION = "missing_section"
    MISSING_KEY = "missing_key"
    MISPLACED_KEY = "misplaced_key"
    BAD_NAME = "bad_name"
    BAD_VALUE = "bad_value"
    WRONG_UNIT = "wrong_unit"
    OUT_OF_RANGE = "out_of_range"
    UNDEFINED_REFERENCE = "undefined_reference"
    SHARE_SUM = "share_sum"
    NO_CAPACITY = "no_capacity"


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """A fault at a line of a file."""

    file: str
    line: int
    """Counted from 1; 0 when the finding is about the whole file."""
    code: str
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.code} {self.message}"


class FindingsError(GuavamastError):
    """Raised when a file is rejected as a whole; holds every finding, sorted by file and line."""

    def __init__(self, findings: list[Finding]) -> None:
        ordered = sorted(findings, key=lambda finding: (finding.file, finding.line))
        super().__init__(ErrorCode.CONFIGURATION_INVALID, "; ".join(map(str, ordered)))
        self.findings = ordered
