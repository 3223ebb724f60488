"""Proposing, confirming and reading plans and configurations over the platform."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

from guavamast.changes import compute_changes
from guavamast.errors import ErrorCode, GuavamastError
from guavamast.fleet import parse_configuration
from guavamast.fleet_reader import AcceptedReader
from guavamast.plan_rows import (
    AUDIT_TABLE,
    CONFIRMATION_TABLE,
    HEAD_KEY,
    HEAD_TABLE,
    PLAN_TABLE,
    SNAPSHOT_TABLE,
    PlanRecord,
    compute_digest,
    make_audit_record,
    make_confirmation,
    make_object_name,
    make_page_prefix,
    make_plan_write,
    make_version_key,
    read_audit_row,
    read_head_row,
    read_plan_row,
)
from guavamast.plans import compute_plan, split_remark
from guavamast.platform_client import (
    Check,
    PlatformAnswerLost,
    PlatformError,
    PlatformUnavailable,
    TransactionConflict,
)
from guavamast.world import Configuration

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.changes import Change
    from guavamast.plan_rows import AuditRecord, Head
    from guavamast.plans import Plan
    from guavamast.platform_client import PlatformClient, Write

_SETTLE_ATTEMPTS: Final = 4
"""Writes of one confirmation before its outcome is given up as unknown."""
_SETTLE_PAUSE_S: Final = 0.25
_MAX_CONFLICT_RECORDS: Final = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class Acceptance:
    """A plan that is in force, or was before later plans."""

    version: int
    configuration: Configuration | None
    """The accepted configuration; None when an earlier call had it accepted."""


class PlanConflict(GuavamastError):
    """Another plan was accepted since this one was computed; nothing was written.

    Args:
        plan_id: The plan that was refused.
        base_version: What it was computed from.
        head_version: What is in force.
        difference: What the plans accepted since have changed.
        accepted: The audit records of these plans, newest first.
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
    """A plan may or may not have been accepted; confirming it again settles it."""

    def __init__(self, *, plan_id: str) -> None:
        message = (
            f"plan {plan_id} may have been accepted; confirm it again to learn, "
            "it is never applied twice"
        )
        super().__init__(ErrorCode.OUTCOME_UNKNOWN, message)


class PlanStore:
    """Proposes and confirms plans, and reads what was accepted.

    Args:
        platform: The platform.
        make_id: Makes the id of a new plan, never the same twice.
        settle_pause_s: Pause before a confirmation whose answer was lost is written again.
    """

    __slots__ = ("_make_id", "_platform", "_reader", "_settle_pause_s")

    def __init__(
        self,
        *,
        platform: PlatformClient,
        make_id: Callable[[], str],
        settle_pause_s: float = _SETTLE_PAUSE_S,
    ) -> None:
        self._platform = platform
        self._make_id = make_id
        self._reader = AcceptedReader()
        self._settle_pause_s = settle_pause_s

    async def read_head(self) -> Head:
        """Return the version in force."""
        return read_head_row(await self._platform.read(HEAD_TABLE, HEAD_KEY))

    async def load_configuration(self) -> Configuration:
        """Return the configuration in force; of version 0 when none was accepted yet."""
        head = await self.read_head()
        return await self._load(head.version, head.digest)

    async def load_version(self, version: int) -> Configuration | None:
        """Return one accepted version, or None when there is no such version."""
        text = await self.read_text(version)
        return None if text is None else self._parse(version, text)

    async def read_text(self, version: int) -> str | None:
        """Return the text of one accepted version, or None when there is no such version."""
        row = await self._platform.read(SNAPSHOT_TABLE, make_version_key(version))
        return None if row.value is None else await self._fetch(version, row.value["digest"])

    async def propose(self, text: str, *, who: str, now: float) -> Plan:
        """Compute a plan against the version in force and keep it; nothing is changed.

        Args:
            text: The proposed configuration as INI.
            who: The operator's name.
            now: Seconds since the epoch.

        Returns:
            The plan.

        Raises:
            FindingsError: The text is not a configuration.
            PlatformUnavailable: No plan was made.
        """
        parse_configuration(text, file="configuration", version=0)
        taken_from, text = split_remark(text)
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
        # Read once more, now with the objects of the base, which are then not compared by value.
        plan = await self._compute(record, self._parse(0, text))
        await self._keep(record, text)
        return plan

    async def read_plan(self, plan_id: str) -> Plan | None:
        """Return a plan, or None when there is none of this id."""
        record = read_plan_row(await self._platform.read(PLAN_TABLE, plan_id))
        if record is None:
            return None
        return await self._compute(record, await self._load(0, record.digest))

    async def read_accepted_version(self, plan_id: str) -> int | None:
        """Return the version that a plan became, or None while it isn't accepted."""
        row = await self._platform.read(CONFIRMATION_TABLE, plan_id)
        return None if row.value is None else row.value["version"]

    async def confirm(self, plan_id: str, *, who: str, now: float) -> Acceptance:
        """Put a plan in force, unless another was accepted since it was computed.

        Confirming a plan again is harmless: the answer is the version that it became.

        Args:
            plan_id: The plan.
            who: The operator's name.
            now: Seconds since the epoch.

        Returns:
            The version that the plan became.

        Raises:
            PlanConflict: Another plan was accepted; this one never will be.
            ConfirmationUnknown: It may have been accepted; confirm again to learn.
            PlatformUnavailable: This call wrote nothing.
            GuavamastError: With code ``not_found``: there is no such plan.
        """
        accepted = await self.read_accepted_version(plan_id)
        if accepted is not None:
            return Acceptance(version=accepted, configuration=None)
        record = read_plan_row(await self._platform.read(PLAN_TABLE, plan_id))
        if record is None:
            raise GuavamastError(ErrorCode.NOT_FOUND, f"there is no plan {plan_id}")
        proposed = await self._load(record.base_version + 1, record.digest)
        plan = await self._compute(record, proposed)
        head = await self.read_head()
        if head.version != record.base_version:
            return await self._settle_conflict(record)
        audit = make_audit_record(record, plan, who=who, now=now)
        checks, writes = make_confirmation(audit, head)
        return await self._write_confirmation(record, proposed, checks, writes)

    async def list_audit(self, *, limit: int) -> list[AuditRecord]:
        """Return the latest audit records, newest first, ``limit`` at most."""
        head = await self.read_head()
        return await self._list_audit_since(0, head.version, limit=limit)

    async def _write_confirmation(
        self,
        record: PlanRecord,
        proposed: Configuration,
        checks: list[Check],
        writes: list[Write],
    ) -> Acceptance:
        """Write the transaction until it is known to be applied or refused.

        Failure: the platform applies the write and its answer is lost, or it was cut off right
        after; the operator is told of an error although the plan is in force. The very same
        transaction is sent again, which can't apply twice, and a conflict is settled by reading
        what became of this plan's id.
        """
        lost = False
        for attempt in range(_SETTLE_ATTEMPTS):
            if attempt:
                await asyncio.sleep(self._settle_pause_s)
            try:
                await self._platform.transact(checks, writes)
            except TransactionConflict:
                settled = await self._settle_conflict(record)
                return replace(settled, configuration=proposed)
            except PlatformAnswerLost:
                lost = True
            except PlatformError:
                if not lost:
                    raise
            else:
                return Acceptance(version=proposed.version, configuration=proposed)
        raise ConfirmationUnknown(plan_id=record.id)

    async def _settle_conflict(self, record: PlanRecord) -> Acceptance:
        """Return the version of a plan whose base is no longer in force, if it became one.

        The head only rises, so a plan that isn't accepted by now never will be.
        """
        try:
            accepted = await self.read_accepted_version(record.id)
            if accepted is not None:
                return Acceptance(version=accepted, configuration=None)
            raise await self._make_conflict(record)
        except PlatformError:
            raise ConfirmationUnknown(plan_id=record.id) from None

    async def _make_conflict(self, record: PlanRecord) -> PlanConflict:
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
        """Return the records of the versions above ``after`` and up to ``until``, newest first."""
        records: list[AuditRecord] = []
        version = until
        while version > after and len(records) < limit:
            rows = await self._platform.scan(AUDIT_TABLE, make_page_prefix(version))
            page = [read_audit_row(row) for row in reversed(rows)]
            records.extend(record for record in page if after < record.version <= version)
            version = min((record.version for record in page), default=1) - 1
        return records[:limit]

    async def _keep(self, record: PlanRecord, text: str) -> None:
        """Store a new plan; a lost answer counts as no plan, whose row then does no harm."""
        check = Check(table=PLAN_TABLE, key=record.id, version=0)
        try:
            if text:
                await self._platform.put_object(make_object_name(record.digest), text.encode())
            await self._platform.transact([check], [make_plan_write(record)])
        except PlatformAnswerLost as error:
            message = "the plan may not have been kept; propose it again"
            raise PlatformUnavailable(message) from error

    async def _compute(self, record: PlanRecord, proposed: Configuration) -> Plan:
        return compute_plan(
            plan_id=record.id,
            base=await self._load(record.base_version, record.base_digest),
            proposed=proposed,
            proposed_by=record.proposed_by,
            now=record.proposed_at,
            taken_from=record.taken_from,
        )

    async def _load(self, version: int, digest: str) -> Configuration:
        return self._parse(version, await self._fetch(version, digest))

    async def _fetch(self, version: int, digest: str) -> str:
        """Return the text of a digest, checked against it."""
        if not digest:
            return ""
        body = await self._platform.get_object(make_object_name(digest))
        text = "" if body is None else body.decode(errors="replace")
        if compute_digest(text) != digest:
            raise PlatformUnavailable(f"the text of version {version} is missing or damaged")
        return text

    def _parse(self, version: int, text: str) -> Configuration:
        """Return a text that was checked as a whole when it was proposed."""
        if not text:
            # Reading no text would make the reader forget all that it knows.
            return Configuration(version=version)
        return self._reader.read(text, version=version)
