"""Who belongs to the fleet, as one instance sees it.

Each instance judges only its neighbours on the overlay by the age of their heartbeats and spreads
what it finds, so that the cost per instance does not grow with the fleet. Records of one instance
are combined by `join`, so the order and number of messages do not matter.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

from guavamast.members import Member, MembershipView, MemberState
from guavamast.overlay import Overlay
from guavamast.rendezvous import compute_weight

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavamast.world import Instance

LARGEST_PATIENCE: Final = 16.0
"""Factor at which the growth of a neighbour's allowed silence stops."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipTiming:
    """Times of the failure detector; ``docs/design/membership.md`` has their measurement."""

    period_s: float = 1.0
    """Time between two heartbeats."""
    suspect_after_s: float = 3.0
    """Silence after which a neighbour is suspected."""
    gone_after_s: float = 3.0
    """Time that a suspected instance has to refute."""
    tell_gone_s: float = 3600.0
    """Time for which a gone instance is told to others."""
    forget_after_s: float = 7200.0
    """Time after which a gone instance is forgotten."""
    load_period_s: float = 20.0
    """Shortest time between two published loads."""


def join(first: Member, second: Member) -> Member:
    """Return what two records of one instance say together.

    The higher incarnation wins whole. Within one incarnation the later state wins, the load goes
    with the higher heartbeat, and configuration versions only grow. This is commutative,
    associative and idempotent.

    Args:
        first: A record.
        second: Another record of the same name.

    Returns:
        Their least upper bound.
    """
    if first.incarnation != second.incarnation:
        return max(first, second, key=lambda member: member.incarnation)
    heartbeat, load = max((first.heartbeat, first.load), (second.heartbeat, second.load))
    return Member(
        instance=max(first.instance, second.instance, key=_order_instance),
        incarnation=first.incarnation,
        state=max(first.state, second.state),
        heartbeat=heartbeat,
        configuration_version=max(first.configuration_version, second.configuration_version),
        load=load,
    )


@dataclass(slots=True, kw_only=True)
class _Record:
    member: Member
    heard_at: float
    """When its heartbeat was last seen to rise, or when it became a neighbour."""
    changed_at: float
    """When its incarnation or state changed."""
    patience: float = 1.0
    """Factor on the allowed silence."""
    news: int = 0
    """Sequence number of the last change of incarnation or state."""
    detail: int = 0
    """Sequence number of the last change of load or configuration version."""


class Membership:
    """The members of the fleet and the failure detector of one instance.

    Call `tick` once a period, `merge` for what arrives, and send `list_news` and `list_details`
    with the own record to each of `list_neighbours`. `HeartbeatLinks` does all of it.

    Args:
        me: This instance.
        incarnation: Milliseconds since the epoch at the process's start, so that a restart
            overrides its predecessor.
        now: The present time of a monotonic clock.
        timing: Times of the failure detector.
    """

    __slots__ = (
        "_load",
        "_load_published_at",
        "_me",
        "_neighbours",
        "_overlay",
        "_overlay_stale",
        "_records",
        "_seeds",
        "_sequence",
        "_ticked_at",
        "_timing",
    )

    def __init__(
        self,
        *,
        me: Instance,
        incarnation: int,
        now: float,
        timing: MembershipTiming | None = None,
    ) -> None:
        self._me = Member(
            instance=me,
            incarnation=incarnation,
            state=MemberState.LIVE,
            heartbeat=0,
            configuration_version=0,
        )
        self._timing = timing or MembershipTiming()
        self._records: dict[str, _Record] = {}
        self._seeds: tuple[str, ...] = ()
        self._overlay = Overlay()
        self._overlay_stale = True
        self._neighbours: frozenset[str] = frozenset()
        self._sequence = 1
        self._ticked_at = now
        self._load = 0.0
        self._load_published_at = now

    @property
    def me(self) -> Member:
        """The own record of this instance."""
        return self._me

    @property
    def timing(self) -> MembershipTiming:
        """The times of the failure detector."""
        return self._timing

    @property
    def sequence(self) -> int:
        """A number that grows with each change of any record."""
        return self._sequence

    def merge(self, members: Iterable[Member], *, now: float) -> None:
        """Take in records from another instance.

        Args:
            members: The records; those of this instance itself are refuted where they are wrong.
            now: The present time.
        """
        for member in members:
            if member.instance.name == self._me.instance.name:
                self._refute(member)
            else:
                self._merge_one(member, now)

    def tick(self, *, now: float) -> None:
        """Raise the own heartbeat and judge the neighbours by the age of theirs."""
        self._allow_for_pause(now)
        self._ticked_at = now
        self._publish(now)
        self._update_overlay(now)
        for name, record in list(self._records.items()):
            self._judge(name, record, now)

    def leave(self, *, now: float) -> None:
        """Tell others that this instance takes no new work; it stays in the overlay."""
        self._set_own_state(MemberState.LEAVING, now)

    def end(self, *, now: float) -> None:
        """Tell others that this instance is gone, right before its process exits."""
        self._set_own_state(MemberState.GONE, now)

    def report_lost(self, name: str, *, now: float) -> None:
        """Suspect a neighbour at once whose address refuses connections.

        Args:
            name: Its name.
            now: The present time.
        """
        record = self._records.get(name)
        if record is None or record.member.state == MemberState.GONE:
            return
        if record.member.state == MemberState.LIVE:
            self._set_state(record, MemberState.SUSPECT, now)
        record.heard_at = min(record.heard_at, now - self._timing.suspect_after_s)

    def set_configuration_version(self, version: int) -> None:
        """Set the version of the configuration that is in force here."""
        self._me = replace(self._me, configuration_version=version)

    def set_load(self, load: float) -> None:
        """Set the requests in flight at this instance's entry; a later `tick` publishes it."""
        self._load = load

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add peer addresses to contact, from the settings or the platform's lagging list."""
        own = self._me.instance.peer_address
        merged = dict.fromkeys([*self._seeds, *addresses])
        self._seeds = tuple(address for address in merged if address != own)

    def make_view(self, *, now: float) -> MembershipView:
        """Return the members that are not gone, ordered by name.

        Args:
            now: The present time.

        Returns:
            A snapshot with this instance in it.
        """
        del now
        members = [record.member for record in self._records.values()]
        kept = [member for member in members if member.state != MemberState.GONE]
        return MembershipView(
            members=tuple(sorted([*kept, self._me], key=lambda member: member.instance.name))
        )

    def find(self, name: str) -> Member | None:
        """Return the record of an instance, also of one that is gone."""
        if name == self._me.instance.name:
            return self._me
        record = self._records.get(name)
        return record.member if record else None

    def list_neighbours(self) -> tuple[Member, ...]:
        """Return the members to exchange heartbeats with, as of the last `tick` or `merge`."""
        self._update_overlay(self._ticked_at)
        return tuple(self._records[name].member for name in sorted(self._neighbours))

    def list_contacts(self) -> tuple[str, ...]:
        """Return the peer addresses of seeds and gone instances, to be tried now and then.

        Failure: two halves that lost each other hold each other as gone and would stay apart for
        ever. One connection between them is enough, since both then exchange all records.
        """
        known = {r.member.instance.peer_address: r.member.state for r in self._records.values()}
        gone = [address for address, state in known.items() if state == MemberState.GONE]
        unknown = [address for address in self._seeds if address not in known]
        return tuple(dict.fromkeys([*unknown, *gone]))

    def list_news(self, *, after: int) -> list[Member]:
        """Return the records whose incarnation or state changed, oldest change first.

        Args:
            after: The value of `sequence` up to which the receiver has been told.
        """
        changed = [record for record in self._records.values() if record.news > after]
        return [record.member for record in sorted(changed, key=lambda record: record.news)]

    def list_details(self, *, after: int) -> list[tuple[int, Member]]:
        """Return the records whose load or configuration version changed, oldest change first.

        Args:
            after: The sequence number up to which the receiver has been told.

        Returns:
            Each record with the sequence number of its change.
        """
        changed = [record for record in self._records.values() if record.detail > after]
        changed.sort(key=lambda record: record.detail)
        return [(record.detail, record.member) for record in changed]

    def list_all(self, *, now: float) -> list[Member]:
        """Return all records that may be told to a new neighbour, the own one included.

        Failure: an instance that has forgotten a gone one hears of it again from one that has not
        yet, and the record never dies. It is told for half of the time for which it is kept.
        """
        limit = now - self._timing.tell_gone_s
        told = [
            record.member
            for record in self._records.values()
            if record.member.state != MemberState.GONE or record.changed_at > limit
        ]
        return [self._me, *told]

    def compute_digest(self) -> int:
        """Return a 64-bit sum over the members, equal where two instances agree on them."""
        total = 0
        for member in (self._me, *(record.member for record in self._records.values())):
            if member.state != MemberState.GONE:
                key = f"{member.incarnation} {member.state}"
                total ^= compute_weight(key, member.instance.name)
        return total

    def _refute(self, heard: Member) -> None:
        outdated = heard.incarnation < self._me.incarnation
        agrees = heard.incarnation == self._me.incarnation and heard.state <= self._me.state
        if outdated or agrees:
            return
        self._me = replace(self._me, incarnation=heard.incarnation + 1)
        self._sequence += 1

    def _merge_one(self, heard: Member, now: float) -> None:
        name = heard.instance.name
        record = self._records.get(name)
        if record is None:
            self._sequence += 1
            self._records[name] = _Record(
                member=heard,
                heard_at=now,
                changed_at=now,
                news=self._sequence,
                detail=self._sequence,
            )
            self._overlay_stale = True
            return
        known = record.member
        record.member = joined = join(known, heard)
        if (joined.incarnation, joined.heartbeat) > (known.incarnation, known.heartbeat):
            record.heard_at = now
        if (joined.incarnation, joined.state) != (known.incarnation, known.state):
            self._note_news(record, known, now)
        if (joined.load, joined.configuration_version) != (known.load, known.configuration_version):
            self._sequence += 1
            record.detail = self._sequence

    def _note_news(self, record: _Record, known: Member, now: float) -> None:
        refuted = known.state == MemberState.SUSPECT and record.member.state == MemberState.LIVE
        if refuted and record.member.incarnation == known.incarnation + 1:
            # Failure: the one link between two live instances is cut. One suspects the other, is
            # refuted by way of the rest, and suspects again with each round. Doubling the allowed
            # silence bounds the noise; a restart (another incarnation) starts afresh.
            record.patience = min(record.patience * 2.0, LARGEST_PATIENCE)
        record.changed_at = now
        self._sequence += 1
        record.news = self._sequence
        self._overlay_stale = True

    def _set_state(self, record: _Record, state: MemberState, now: float) -> None:
        known = record.member
        record.member = replace(known, state=state)
        self._note_news(record, known, now)

    def _set_own_state(self, state: MemberState, now: float) -> None:
        del now
        if state > self._me.state:
            self._me = replace(self._me, state=state)
            self._sequence += 1

    def _allow_for_pause(self, now: float) -> None:
        """Add the time in which this process did not run to what others are allowed.

        Failure: a process that was stopped for a minute wakes, finds all neighbours silent for a
        minute and declares them gone before it has read what they sent. Moving the times by the
        gap leaves them their full allowance from now on.
        """
        gap = now - self._ticked_at - self._timing.period_s
        if gap <= self._timing.period_s:
            return
        for record in self._records.values():
            record.heard_at += gap
            if record.member.state == MemberState.SUSPECT:
                record.changed_at += gap

    def _publish(self, now: float) -> None:
        load = self._me.load
        due = now - self._load_published_at >= self._timing.load_period_s
        if due and self._load != load:
            load = self._load
            self._load_published_at = now
        self._me = replace(self._me, heartbeat=self._me.heartbeat + 1, load=load)

    def _update_overlay(self, now: float) -> None:
        if not self._overlay_stale:
            return
        self._overlay_stale = False
        regions = {
            name: record.member.instance.failure_domain.region
            for name, record in self._records.items()
            if record.member.state != MemberState.GONE
        }
        own = self._me.instance
        regions[own.name] = own.failure_domain.region
        neighbours = self._overlay.find_neighbours(own.name, regions)
        for name in neighbours - self._neighbours:
            record = self._records[name]
            record.heard_at = max(record.heard_at, now)
            record.patience = 1.0
        self._neighbours = neighbours

    def _judge(self, name: str, record: _Record, now: float) -> None:
        timing = self._timing
        state = record.member.state
        if state == MemberState.GONE:
            if now - record.changed_at > timing.forget_after_s:
                del self._records[name]
                self._overlay.forget(name)
            return
        silence = now - record.heard_at
        allowed = timing.suspect_after_s * record.patience
        if state == MemberState.SUSPECT:
            if min(silence, now - record.changed_at) > timing.gone_after_s:
                self._set_state(record, MemberState.GONE, now)
        elif name in self._neighbours and silence > allowed:
            if state == MemberState.LIVE:
                self._set_state(record, MemberState.SUSPECT, now)
            elif silence > allowed + timing.gone_after_s:
                self._set_state(record, MemberState.GONE, now)


def _order_instance(instance: Instance) -> tuple[str, str, str, str]:
    domain = instance.failure_domain
    return (domain.name, domain.region, instance.caller_address, instance.peer_address)
