"""Rows of plans, accepted versions and the audit trail in the platform's tables.

``configuration/head`` names the version in force; ``snapshots/VERSION`` each accepted version;
``audit/VERSION`` who confirmed it; ``confirmations/PLAN`` the version that a plan became;
``plans/PLAN`` what was proposed. The texts are objects named by their digest.
"""

from __future__ import annotations

import hashlib
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Final

from guavamast.platform_client import Check, Write

if TYPE_CHECKING:
    from guavamast.plans import Plan
    from guavamast.platform_client import Row

HEAD_TABLE: Final = "configuration"
HEAD_KEY: Final = "head"
SNAPSHOT_TABLE: Final = "snapshots"
AUDIT_TABLE: Final = "audit"
CONFIRMATION_TABLE: Final = "confirmations"
PLAN_TABLE: Final = "plans"
_OBJECT_PREFIX: Final = "configurations/"
_VERSION_DIGITS: Final = 10
"""Digits of a version in a row's key, so that keys sort by version."""
_PAGE_DIGITS: Final = 2
"""A prefix without these last digits finds a page of a hundred versions."""
_MAX_AUDITED_CHANGES: Final = 100
"""Changes written out in one audit row; the two snapshots give the rest."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """The version in force as the platform has it."""

    version: int
    """0 when nothing was accepted yet."""
    digest: str
    row_version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PlanRecord:
    """A plan as it was proposed."""

    id: str
    base_version: int
    base_digest: str
    digest: str
    proposed_by: str
    proposed_at: float
    taken_from: int | None
    """Version that the text was edited from, if it said so."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AuditRecord:
    """One accepted version: who confirmed which plan, when, and what it replaced."""

    version: int
    plan: str
    who: str
    at: float
    """Seconds since the epoch."""
    before_version: int
    before_digest: str
    after_digest: str
    change_count: int
    changes: tuple[str, ...]
    """The first changes in words."""


def compute_digest(text: str) -> str:
    """Return the name of a text; empty for the text of no configuration."""
    return hashlib.sha256(text.encode()).hexdigest() if text else ""


def make_object_name(digest: str) -> str:
    """Return the name of the object that holds a text."""
    return f"{_OBJECT_PREFIX}{digest}"


def make_version_key(version: int) -> str:
    """Return the key of the rows of one version."""
    return f"{version:0{_VERSION_DIGITS}d}"


def make_page_prefix(version: int) -> str:
    """Return the prefix of the keys of a version and its neighbours."""
    return make_version_key(version)[:-_PAGE_DIGITS]


def read_head_row(row: Row) -> Head:
    """Return what a head row says."""
    value = row.value or {"version": 0, "digest": ""}
    return Head(version=value["version"], digest=value["digest"], row_version=row.version)


def read_plan_row(row: Row) -> PlanRecord | None:
    """Return what a plan's row says, or None when it is absent."""
    return None if row.value is None else PlanRecord(**row.value)


def read_audit_row(row: Row) -> AuditRecord:
    """Return what an audit row says."""
    value = row.value or {}
    return AuditRecord(**(value | {"changes": tuple(value["changes"])}))


def make_plan_write(record: PlanRecord) -> Write:
    """Return the write of a new plan."""
    return Write(table=PLAN_TABLE, key=record.id, value=asdict(record))


def make_audit_record(record: PlanRecord, plan: Plan, *, who: str, now: float) -> AuditRecord:
    """Return the audit record of a plan's confirmation."""
    return AuditRecord(
        version=record.base_version + 1,
        plan=record.id,
        who=who,
        at=now,
        before_version=record.base_version,
        before_digest=record.base_digest,
        after_digest=record.digest,
        change_count=len(plan.changes),
        changes=tuple(str(change) for change in plan.changes[:_MAX_AUDITED_CHANGES]),
    )


def make_confirmation(audit: AuditRecord, head: Head) -> tuple[list[Check], list[Write]]:
    """Return the one transaction that puts a version in force and records it.

    Failure: two operators confirm plans of one base at the same moment, or one confirmation is
    sent twice because its answer was lost; without a check the later write would silently undo
    the earlier, or the version would rise twice. The head row's own version is checked and each
    confirmation writes that row, so of all copies of all plans of one base only one is written.

    Args:
        audit: What is to be recorded.
        head: The head that the plan was computed from.

    Returns:
        The checks and the writes.
    """
    key = make_version_key(audit.version)
    row = {"version": audit.version, "digest": audit.after_digest}
    checks = [Check(table=HEAD_TABLE, key=HEAD_KEY, version=head.row_version)]
    writes = [
        Write(table=HEAD_TABLE, key=HEAD_KEY, value=row),
        Write(table=SNAPSHOT_TABLE, key=key, value=row),
        Write(table=AUDIT_TABLE, key=key, value=asdict(audit) | {"changes": list(audit.changes)}),
        Write(table=CONFIRMATION_TABLE, key=audit.plan, value={"version": audit.version}),
    ]
    return checks, writes
