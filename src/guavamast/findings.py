"""Findings of a check: each with its place, collected and reported together."""

from __future__ import annotations

from dataclasses import dataclass

from guavamast.errors import ErrorCode, GuavamastError


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """One thing that is wrong at one place of a file."""

    file: str
    line: int
    """Counted from 1; 0 when the finding is about the whole file."""
    code: str
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.code} {self.message}"


class FindingsError(GuavamastError):
    """A file was refused as a whole; carries every finding, in order of place."""

    def __init__(self, findings: list[Finding]) -> None:
        ordered = sorted(findings, key=lambda finding: (finding.file, finding.line))
        super().__init__(ErrorCode.CONFIGURATION_INVALID, "; ".join(map(str, ordered)))
        self.findings = ordered
