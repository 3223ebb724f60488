"""Rows of plans, accepted versions and the audit trail in the platform's tables.

``configuration/head`` holds the version in force, ``snapshots/VERSION`` each accepted version,
``audit/VERSION`` its audit record, ``confirmations/PLAN`` the version created by a plan and
``plans/PLAN`` the proposal. The configuration texts are objects named by their digest.
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
"""Digits of a zero-padded version in a row's key; makes keys sort by version."""
_PAGE_DIGITS: Final = 2
"""Digits cut from a version key to scan by prefix; a page has a hundred versions."""
_MAX_AUDITED_CHANGES: Final = 100
"""Most changes listed in one audit row; the two snapshots hold the full difference."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """The version in force, as stored on the platform."""

    version: int
    """0 before the first version is accepted."""
    digest: str
    row_version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PlanRecord:
    """A stored plan, as proposed."""

    id: str
    base_version: int
    base_digest: str
    digest: str
    proposed_by: str
    proposed_at: float
    taken_from: int | None
    """Version that the text was edited from; None when its version comment is missing."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AuditRecord:
    """The record of one accepted version: operator, plan, time and replaced version."""

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
    """Descriptions of the first changes."""


def compute_digest(text: str) -> str:
    """Return the SHA-256 hex digest of a configuration text; empty for an empty text."""
    return hashlib.sha256(text.encode()).hexdigest() if text else ""


def build_object_name(digest: str) -> str:
    """Return the name of the object that holds the text with this digest."""
    return f"{_OBJECT_PREFIX}{digest}"


def build_version_key(version: int) -> str:
    """Return the key of the rows of one version."""
    return f"{version:0{_VERSION_DIGITS}d}"


def build_page_prefix(version: int) -> str:
    """Return the common key prefix of the page of versions that contains this one."""
    return build_version_key(version)[:-_PAGE_DIGITS]


def parse_head_row(row: Row) -> Head:
    """Return the head from its row."""
    value = row.value or {"version": 0, "digest": ""}
    return Head(version=value["version"], digest=value["digest"], row_version=row.version)


def parse_plan_row(row: Row) -> PlanRecord | None:
    """Return the plan record from its row, or None when the row is absent."""
    return None if row.value is None else PlanRecord(**row.value)


def parse_audit_row(row: Row) -> AuditRecord:
    """Return the audit record from its row."""
    value = row.value or {}
    return AuditRecord(**(value | {"changes": tuple(value["changes"])}))


def build_plan_write(record: PlanRecord) -> Write:
    """Return the write that stores a new plan."""
    return Write(table=PLAN_TABLE, key=record.id, value=asdict(record))


def build_audit_record(record: PlanRecord, plan: Plan, *, who: str, now: float) -> AuditRecord:
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


def build_confirmation(audit: AuditRecord, head: Head) -> tuple[list[Check], list[Write]]:
    """Return the transaction that puts a version in force and records it.

    Failure: two operators confirm plans with the same base concurrently, or a confirmation is
    sent twice because its response was lost. Without a check, the later write would silently
    undo the earlier one or the version would rise twice. The transaction checks the head row's
    version and writes that row, so only one confirmation for each base is applied.

    Args:
        audit: The audit record to store.
        head: The head that the plan was computed from.

    Returns:
        The checks and the writes.
    """
    key = build_version_key(audit.version)
    row = {"version": audit.version, "digest": audit.after_digest}
    checks = [Check(table=HEAD_TABLE, key=HEAD_KEY, version=head.row_version)]
    writes = [
        Write(table=HEAD_TABLE, key=HEAD_KEY, value=row),
        Write(table=SNAPSHOT_TABLE, key=key, value=row),
        Write(table=AUDIT_TABLE, key=key, value=asdict(audit) | {"changes": list(audit.changes)}),
        Write(table=CONFIRMATION_TABLE, key=audit.plan, value={"version": audit.version}),
    ]
    return checks, writes
