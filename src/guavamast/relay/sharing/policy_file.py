"""The operators' policy file: an INI file with a section for fair sharing."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Final

from guavamast.findings import Finding, FindingCode, FindingsError
from guavamast.inifile import read_ini
from guavamast.relay.sharing.policy import SharingPolicy
from guavamast.schema import Key, SchemaReader, SectionKind
from guavamast.value_types import Choice, Fault, Number, ValueType, split_list

_WEIGHT: Final = Number(minimum=0.01, maximum=1000.0)
_ORGANISATION: Final = re.compile(r"[^:,\s]+")


class WeightsOf(ValueType):
    """Pairs ``organisation:weight``, separated by commas, as a mapping."""

    def parse(self, text: str) -> dict[str, float]:
        """Return the weights; an organisation that is listed twice is a fault."""
        weights: dict[str, float] = {}
        for item in split_list(text):
            organisation, _, weight = (part.strip() for part in item.rpartition(":"))
            if not _ORGANISATION.fullmatch(organisation):
                raise Fault(FindingCode.BAD_VALUE, f"{item!r} is not `organisation:weight`")
            if organisation in weights:
                raise Fault(FindingCode.DUPLICATE_VALUE, f"{organisation} is listed twice")
            weights[organisation] = _WEIGHT.parse(weight)
        return weights

    def describe(self) -> str:
        """Return the form."""
        return f"a list, separated by commas, each `organisation:weight`, {_WEIGHT.describe()}"


POLICY_SECTIONS: Final = (
    SectionKind(
        kind="sharing",
        keys=(
            Key(
                name="enabled",
                type=Choice({"yes": True, "no": False}),
                meaning="Whether organisations of one precedence share a service fairly.",
                default=True,
            ),
            Key(
                name="weights",
                type=WeightsOf(),
                meaning="Weights of organisations; 1 for those that are not listed.",
                default={},
            ),
        ),
    ),
)
"""Sections of the policy file."""


def read_policy(path: str) -> SharingPolicy:
    """Return the settings in a policy file.

    Args:
        path: The file.

    Raises:
        FindingsError: The file can't be read, or has faults.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        message = f"can't be read: {type(error).__name__}"
        finding = Finding(file=path, line=0, code=FindingCode.UNREADABLE, message=message)
        raise FindingsError([finding]) from error
    return parse_policy(text, file=path)


def parse_policy(text: str, *, file: str) -> SharingPolicy:
    """Return the settings in the text of a policy file.

    Args:
        text: The whole text.
        file: Name to report in findings.

    Raises:
        FindingsError: The text has faults.
    """
    reader = SchemaReader(ini=read_ini(text, file=file), kinds=POLICY_SECTIONS)
    reader.read()
    if reader.findings:
        raise FindingsError(reader.findings)
    for section in reader.list_sections("sharing"):
        return SharingPolicy(enabled=section.values["enabled"], weights=section.values["weights"])
    return SharingPolicy()
