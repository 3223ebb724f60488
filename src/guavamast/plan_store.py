"""Store of plans and accepted configurations on the platform."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

from guavamast.changes import compute_changes
from guavamast.errors import ErrorCode, GuavamastError
from guavamast.fleet import parse_configuration
from guavamast.fleet_objects import Configuration
from guavamast.fleet_reader import IncrementalReader
from guavamast.plan_rows import (
    AUDIT_TABLE,
    CONFIRMATION_TABLE,
    HEAD_KEY,
    HEAD_TABLE,
    PLAN_TABLE,
    SNAPSHOT_TABLE,
    PlanRecord,
    build_audit_record,
    build_confirmation,
    build_object_name,
    build_page_prefix,
    build_plan_write,
    build_version_key,
    compute_digest,
    parse_audit_row,
    parse_head_row,
    parse_plan_row,
)
from guavamast.plans import compute_plan, split_version_comment
from guavamast.platform_client import (
    Check,
    PlatformAnswerLost,
    PlatformError,
    PlatformUnavailable,
    TransactionConflict,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.changes import Change
    from guavamast.plan_rows import AuditRecord, Head
    from guavamast.plans import Plan
    from guavamast.platform_client import PlatformClient, Write

_CONFIRM_ATTEMPTS: Final = 4
"""Most writes of one confirmation before its outcome is reported as unknown."""
_CONFIRM_RETRY_DELAY_S: Final = 0.25
_MAX_CONFLICT_RECORDS: Final = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class Acceptance:
    """An accepted plan; later plans may have replaced it."""

    version: int
    configuration: Configuration | None
    """The accepted configuration; None when an earlier call accepted the plan."""


class PlanConflict(GuavamastError):
    """Another plan was accepted since this one was computed; nothing was written.

    Args:
        plan_id: The rejected plan.
        base_version: The version it was computed from.
        head_version: The version in force.
        difference: The changes from the base version to the version in force.
        accepted: The audit records of the plans accepted since, newest first.
    """

    def __init__(
        self,
        *,
        plan_id: str,
        base_version: int,
        head_version: int,
        difference: list[Change],
        accepted: list[AuditRecord],
    ) -> None:
        message = (
            f"plan {plan_id} was computed from version {base_version}, "
            f"but version {head_version} is in force"
        )
        super().__init__(ErrorCode.PLAN_CONFLICT, message)
        self.base_version = base_version
        self.head_version = head_version
        self.difference = difference
        self.accepted = accepted


class ConfirmationUnknown(GuavamastError):
    """It is unknown whether a plan was accepted; confirming it again resolves this."""

    def __init__(self, *, plan_id: str) -> None:
        message = (
            f"plan {plan_id} may have been accepted; confirm it again to find out, "
            "it is never applied twice"
        )
        super().__init__(ErrorCode.OUTCOME_UNKNOWN, message)


class PlanStore:
    """Proposes and confirms plans, and reads accepted versions.

    Args:
        platform: The platform.
        make_id: Returns a unique id for a new plan.
        confirm_retry_delay_s: Delay before retrying a confirmation whose response was lost.
    """

    __slots__ = ("_make_id", "_platform", "_reader", "_confirm_retry_delay_s")

    def __init__(
        self,
        *,
        platform: PlatformClient,
        make_id: Callable[[], str],
        confirm_retry_delay_s: float = _CONFIRM_RETRY_DELAY_S,
    ) -> None:
        self._platform = platform
        self._make_id = make_id
        self._reader = IncrementalReader()
        self._confirm_retry_delay_s = confirm_retry_delay_s

    async def read_head(self) -> Head:
        """Return the version in force."""
        return parse_head_row(await self._platform.read(HEAD_TABLE, HEAD_KEY))

    async def load_configuration(self) -> Configuration:
        """Return the configuration in force; an empty version 0 before the first is accepted."""
        head = await self.read_head()
        return await self._load(head.version, head.digest)

    async def load_version(self, version: int) -> Configuration | None:
        """Return one accepted version, or None when there is no such version."""
        text = await self.read_text(version)
        return None if text is None else self._parse(version, text)

    async def read_text(self, version: int) -> str | None:
        """Return the text of one accepted version, or None when there is no such version."""
        row = await self._platform.read(SNAPSHOT_TABLE, build_version_key(version))
        return None if row.value is None else await self._fetch_text(version, row.value["digest"])

    async def propose(self, text: str, *, who: str, now: float) -> Plan:
        """Compute a plan against the version in force and store it; nothing takes effect yet.

        Args:
            text: The proposed configuration as INI.
            who: The operator's name.
            now: Seconds since the epoch.

        Returns:
            The plan.

        Raises:
            FindingsError: The text is not a valid configuration.
            PlatformUnavailable: No plan was stored.
        """
        parse_configuration(text, file="configuration", version=0)
        taken_from, text = split_version_comment(text)
        head = await self.read_head()
        record = PlanRecord(
            id=self._make_id(),
            base_version=head.version,
            base_digest=head.digest,
            digest=compute_digest(text),
            proposed_by=who,
            proposed_at=now,
            taken_from=taken_from,
        )
        # Parses again to reuse the objects of the base, which spares comparing them by value.
        plan = await self._compute_plan(record, self._parse(0, text))
        await self._store_plan(record, text)
        return plan

    async def read_plan(self, plan_id: str) -> Plan | None:
        """Return a plan, or None when there is no plan with this id."""
        record = parse_plan_row(await self._platform.read(PLAN_TABLE, plan_id))
        if record is None:
            return None
        return await self._compute_plan(record, await self._load(0, record.digest))

    async def read_accepted_version(self, plan_id: str) -> int | None:
        """Return the version created by a plan, or None while the plan is not accepted."""
        row = await self._platform.read(CONFIRMATION_TABLE, plan_id)
        return None if row.value is None else row.value["version"]

    async def confirm(self, plan_id: str, *, who: str, now: float) -> Acceptance:
        """Put a plan in force, unless another was accepted since it was computed.

        Confirming an accepted plan again returns the version that it created.

        Args:
            plan_id: The plan.
            who: The operator's name.
            now: Seconds since the epoch.

        Returns:
            The version created by the plan.

        Raises:
            PlanConflict: Another plan was accepted; this one can no longer be.
            ConfirmationUnknown: It may have been accepted; confirm again to find out.
            PlatformUnavailable: Nothing was written by this call.
            GuavamastError: With code ``not_found``: there is no such plan.
        """
        accepted = await self.read_accepted_version(plan_id)
        if accepted is not None:
            return Acceptance(version=accepted, configuration=None)
        record = parse_plan_row(await self._platform.read(PLAN_TABLE, plan_id))
        if record is None:
            raise GuavamastError(ErrorCode.NOT_FOUND, f"there is no plan {plan_id}")
        proposed = await self._load(record.base_version + 1, record.digest)
        plan = await self._compute_plan(record, proposed)
        head = await self.read_head()
        if head.version != record.base_version:
            return await self._resolve_conflict(record)
        audit = build_audit_record(record, plan, who=who, now=now)
        checks, writes = build_confirmation(audit, head)
        return await self._write_confirmation(record, proposed, checks, writes)

    async def list_audit(self, *, limit: int) -> list[AuditRecord]:
        """Return at most ``limit`` of the latest audit records, newest first."""
        head = await self.read_head()
        return await self._list_audit_since(0, head.version, limit=limit)

    async def _write_confirmation(
        self,
        record: PlanRecord,
        proposed: Configuration,
        checks: list[Check],
        writes: list[Write],
    ) -> Acceptance:
        """Retry the transaction until it is known to be applied or rejected.

        Failure: the platform applies the write, but its response is lost or the platform becomes
        unreachable right after; the operator gets an error although the plan is in force. The
        same transaction is sent again, which cannot apply twice, and a conflict is resolved by
        reading the confirmation row of this plan's id.
        """
        lost = False
        for attempt in range(_CONFIRM_ATTEMPTS):
            if attempt:
                await asyncio.sleep(self._confirm_retry_delay_s)
            try:
                await self._platform.transact(checks, writes)
            except TransactionConflict:
                resolved = await self._resolve_conflict(record)
                return replace(resolved, configuration=proposed)
            except PlatformAnswerLost:
                lost = True
            except PlatformError:
                if not lost:
                    raise
            else:
                return Acceptance(version=proposed.version, configuration=proposed)
        raise ConfirmationUnknown(plan_id=record.id)

    async def _resolve_conflict(self, record: PlanRecord) -> Acceptance:
        """Return the version of a plan whose base is no longer in force, if it was accepted.

        The head version only rises, so a plan that is not accepted by now can never be.
        """
        try:
            accepted = await self.read_accepted_version(record.id)
            if accepted is not None:
                return Acceptance(version=accepted, configuration=None)
            raise await self._build_conflict(record)
        except PlatformError:
            raise ConfirmationUnknown(plan_id=record.id) from None

    async def _build_conflict(self, record: PlanRecord) -> PlanConflict:
        head = await self.read_head()
        base = await self._load(record.base_version, record.base_digest)
        accepted = await self._list_audit_since(
            record.base_version, head.version, limit=_MAX_CONFLICT_RECORDS
        )
        return PlanConflict(
            plan_id=record.id,
            base_version=record.base_version,
            head_version=head.version,
            difference=compute_changes(base, await self._load(head.version, head.digest)),
            accepted=accepted,
        )

    async def _list_audit_since(self, after: int, until: int, *, limit: int) -> list[AuditRecord]:
        """Return the audit records of versions after ``after``, up to ``until``, newest first."""
        records: list[AuditRecord] = []
        version = until
        while version > after and len(records) < limit:
            rows = await self._platform.scan(AUDIT_TABLE, build_page_prefix(version))
            page = [parse_audit_row(row) for row in reversed(rows)]
            records.extend(record for record in page if after < record.version <= version)
            version = min((record.version for record in page), default=1) - 1
        return records[:limit]

    async def _store_plan(self, record: PlanRecord, text: str) -> None:
        """Store a new plan.

        After a lost response the plan counts as not stored; a row left behind is harmless.
        """
        check = Check(table=PLAN_TABLE, key=record.id, version=0)
        try:
            if text:
                await self._platform.put_object(build_object_name(record.digest), text.encode())
            await self._platform.transact([check], [build_plan_write(record)])
        except PlatformAnswerLost as error:
            message = "the plan may not have been stored; propose it again"
            raise PlatformUnavailable(message) from error

    async def _compute_plan(self, record: PlanRecord, proposed: Configuration) -> Plan:
        return compute_plan(
            plan_id=record.id,
            base=await self._load(record.base_version, record.base_digest),
            proposed=proposed,
            proposed_by=record.proposed_by,
            now=record.proposed_at,
            taken_from=record.taken_from,
        )

    async def _load(self, version: int, digest: str) -> Configuration:
        return self._parse(version, await self._fetch_text(version, digest))

    async def _fetch_text(self, version: int, digest: str) -> str:
        """Return the text with this digest and verify it."""
        if not digest:
            return ""
        body = await self._platform.get_object(build_object_name(digest))
        text = "" if body is None else body.decode(errors="replace")
        if compute_digest(text) != digest:
            raise PlatformUnavailable(f"the text of version {version} is missing or damaged")
        return text

    def _parse(self, version: int, text: str) -> Configuration:
        """Parse a text that was validated when it was proposed."""
        if not text:
            # Reading an empty text would clear the reader's cached objects.
            return Configuration(version=version)
        return self._reader.read(text, version=version)
