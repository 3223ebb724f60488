"""Fleet membership and failure detection, as one instance sees them.

Each instance monitors only its overlay neighbours, by the age of their heartbeats, and gossips the
state changes that it detects, so the cost per instance does not grow with the fleet. `join` merges
records of the same instance, so the order and number of messages do not matter.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

from guavamast.member_records import ChangeLog, MemberRecord, MemberUpdate, join
from guavamast.members import Member, MembershipView, MemberState
from guavamast.overlay import Overlay
from guavamast.rendezvous import compute_weight

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavamast.fleet_objects import Instance

MAX_SUSPICION_FACTOR: Final = 16.0
"""Upper bound of `MemberRecord.suspicion_factor`."""
SUSPICION_FACTOR_DECAY: Final = 0.98
"""Decay of the suspicion factor per heartbeat in time; about 35 heartbeats halve it."""
MIN_LOAD_CHANGE: Final = 0.2
"""Smallest relative load change to publish; less does not change which instance is chosen."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipTiming:
    """Timing of the failure detector; ``docs/design/membership.md`` has the measurements."""

    period_s: float = 1.0
    """Heartbeat interval."""
    suspect_after_s: float = 3.0
    """Silence after which a neighbour is suspected."""
    gone_after_s: float = 3.0
    """Time that a suspected instance has to refute the suspicion."""
    refused_gone_after_s: float = 1.0
    """The same where the address refuses connections, since no process is left to refute."""
    forget_after_s: float = 7200.0
    """Time after which a gone instance is forgotten; longer than regions stay partitioned."""
    load_period_s: float = 5.0
    """Shortest interval between two load updates of an instance, in a small fleet."""
    loads_per_second: float = 6.0
    """Upper bound on the load updates of all instances together.

    Each update crosses every link, so this bounds the cost for any size of the fleet. It must stay
    below `heartbeat_exchange.DETAILS_PER_MESSAGE` per period, or a backlog would grow.
    """


class Membership:
    """The members of the fleet and the failure detector of one instance.

    `HeartbeatLinks` calls `tick` once per period, `merge` for received records and `report_lost`,
    and sends changes to `list_neighbours`. The dispatcher calls `add_seeds` at the start,
    `replace_listed` after each read of the platform's list, `set_load`, `leave`, `end` and
    `make_view`.

    Args:
        me: This instance.
        incarnation: Milliseconds since the epoch at the start of the process, so that a restarted
            process overrides the records of the previous one.
        now: Current time of a monotonic clock.
        timing: Timing of the failure detector.
    """

    __slots__ = (
        "_detail_changes",
        "_load",
        "_load_published_at",
        "_listed",
        "_me",
        "_neighbours",
        "_state_changes",
        "_overlay",
        "_overlay_stale",
        "_records",
        "_seeds",
        "_sequence",
        "_ticked_at",
        "_timing",
        "_watched",
        "left_at",
        "state_sequence",
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
        self._records: dict[str, MemberRecord] = {}
        self._state_changes = ChangeLog()
        self._detail_changes = ChangeLog()
        self._seeds: tuple[str, ...] = ()
        self._listed: tuple[str, ...] = ()
        self._overlay = Overlay()
        self._overlay_stale = True
        self._neighbours: frozenset[str] = frozenset()
        self._watched: set[str] = set()
        """Names of suspected and gone instances."""
        self._sequence = 1
        self._ticked_at = now
        self._load = 0.0
        self._load_published_at = now
        self.left_at: float | None = None
        """Time at which this instance began to leave."""
        self.state_sequence = 0
        """Value of `sequence` at the last change of any incarnation or state."""

    @property
    def me(self) -> Member:
        """The own record of this instance."""
        return self._me

    @property
    def timing(self) -> MembershipTiming:
        """The timing of the failure detector."""
        return self._timing

    @property
    def sequence(self) -> int:
        """A number that grows with each change of any record."""
        return self._sequence

    def merge(self, members: Iterable[Member], *, now: float) -> None:
        """Merge records received from another instance.

        Args:
            members: The records. A wrong record of this instance is refuted by a new incarnation.
            now: Current time.
        """
        for member in members:
            if member.instance.name == self._me.instance.name:
                self._refute(member)
            else:
                self._merge_one(member, now)

    def tick(self, *, now: float) -> None:
        """Increment the local heartbeat counter and check the age of the neighbours' heartbeats."""
        self._compensate_for_pause(now)
        self._ticked_at = now
        self._publish(now)
        self._update_overlay(now)
        for name in self._neighbours | self._watched:
            self._check_record(name, self._records[name], now)

    def leave(self, *, now: float) -> None:
        """Announce that this instance accepts no new work; it stays in the overlay."""
        if self._me.state == MemberState.LIVE:
            self.left_at = now
            self._set_own_state(MemberState.LEAVING)

    def end(self) -> None:
        """Announce that this instance is gone, right before its process exits."""
        self._set_own_state(MemberState.GONE)

    def report_connection_refused(self, name: str, *, now: float) -> None:
        """Suspect a neighbour whose address refuses connections, without waiting for silence.

        Args:
            name: The neighbour's name.
            now: Current time.
        """
        record = self._records.get(name)
        if record is None or record.member.state == MemberState.GONE:
            return
        if record.member.state == MemberState.LIVE:
            self._set_state(record, MemberState.SUSPECT, now)
        record.refused_connection = True

    def set_configuration_version(self, version: int) -> None:
        """Set the configuration version that this instance has in force."""
        self._me = replace(self._me, configuration_version=version)

    def set_load(self, load: float) -> None:
        """Set the number of requests in flight at this instance's entry, for a later `tick`."""
        self._load = load

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add the settings' peer addresses, which are dialled for as long as this process runs."""
        self._seeds = tuple(dict.fromkeys([*self._seeds, *addresses]))

    def set_platform_addresses(self, addresses: Iterable[str]) -> None:
        """Set the peer addresses of the platform's list, which lags and omits what has left."""
        self._listed = tuple(addresses)

    def create_view(self, *, now: float) -> MembershipView:
        """Return the members that are not gone, ordered by name.

        Args:
            now: Current time.

        Returns:
            A snapshot that includes this instance.
        """
        del now
        members = [record.member for record in self._records.values()]
        kept = [member for member in members if member.state != MemberState.GONE]
        return MembershipView(
            members=tuple(sorted([*kept, self._me], key=lambda member: member.instance.name))
        )

    def get(self, name: str) -> Member | None:
        """Return the record of an instance, even if it is gone."""
        if name == self._me.instance.name:
            return self._me
        record = self._records.get(name)
        return record.member if record else None

    def list_neighbours(self) -> tuple[Member, ...]:
        """Return the members to exchange heartbeats with, as of the last `tick` or `merge`."""
        self._update_overlay(self._ticked_at)
        return tuple(self._records[name].member for name in sorted(self._neighbours))

    def list_reconnect_addresses(self) -> tuple[str, ...]:
        """Return the peer addresses of seeds and gone instances, to be dialled now and then.

        Without this, the two sides of a network partition consider each other gone and never
        reconnect. One connection between them suffices, since both then exchange all records.
        """
        known = {r.member.instance.peer_address: r.member.state for r in self._records.values()}
        known[self._me.instance.peer_address] = self._me.state
        gone = [address for address, state in known.items() if state == MemberState.GONE]
        unknown = [address for address in (*self._seeds, *self._listed) if address not in known]
        return tuple(dict.fromkeys([*unknown, *gone]))

    def list_updates(self, *, after: int) -> list[MemberUpdate]:
        """Return the records whose incarnation or state changed, oldest change first.

        Args:
            after: The value of `sequence` up to which the receiver has the changes.
        """
        changed = [self._records[name] for _, name in self._state_changes.list_after(after)]
        return [
            MemberUpdate(member=record.member, new_incarnation=record.incarnation_sequence > after)
            for record in changed
        ]

    def list_detail_changes(self, *, after: int) -> list[tuple[int, Member]]:
        """Return the records whose load or configuration version changed, oldest change first.

        Args:
            after: The sequence number up to which the receiver has the changes.

        Returns:
            Each record with the sequence number of its change.
        """
        changed = self._detail_changes.list_after(after)
        return [(number, self._records[name].member) for number, name in changed]

    def list_shareable(self) -> list[Member]:
        """Return all records that may be sent to a new neighbour, including this instance's own.

        Records that were gone when first received are left out. Otherwise an instance that has
        forgotten a gone one would receive it again from one that has not, pass it on, and the
        record would never expire.
        """
        records = [record.member for record in self._records.values() if not record.first_seen_gone]
        return [self._me, *records]

    def compute_digest(self) -> int:
        """Return a 64-bit digest of the members, equal for two instances that agree on them."""
        digest = 0
        for member in (self._me, *(record.member for record in self._records.values())):
            if member.state != MemberState.GONE:
                key = f"{member.incarnation} {member.state}"
                digest ^= compute_weight(key, member.instance.name)
        return digest

    def _refute(self, received: Member) -> None:
        outdated = received.incarnation < self._me.incarnation
        agrees = received.incarnation == self._me.incarnation and received.state <= self._me.state
        if outdated or agrees:
            return
        self._me = replace(self._me, incarnation=received.incarnation + 1)
        self._advance_state_sequence()

    def _merge_one(self, received: Member, now: float) -> None:
        name = received.instance.name
        record = self._records.get(name)
        if record is None:
            self._add_record(received, now)
            return
        known = record.member
        record.member = joined = join(known, received)
        if (joined.incarnation, joined.heartbeat) > (known.incarnation, known.heartbeat):
            record.heartbeat_at = now
            record.refused_connection = False
        if (joined.incarnation, joined.state) != (known.incarnation, known.state):
            if record.first_seen_gone and joined.state == MemberState.GONE:
                return
            self._record_state_change(record, known, now)
        if (joined.load, joined.configuration_version) != (known.load, known.configuration_version):
            self._sequence += 1
            self._detail_changes.record(name, self._sequence)

    def _add_record(self, received: Member, now: float) -> None:
        gone = received.state == MemberState.GONE
        record = MemberRecord(
            member=received, heartbeat_at=now, changed_at=now, first_seen_gone=gone
        )
        self._records[received.instance.name] = record
        self._watch(record)
        if not gone:
            record.incarnation_sequence = self._advance_state_sequence()
            self._state_changes.record(received.instance.name, record.incarnation_sequence)
            self._overlay_stale = True

    def _watch(self, record: MemberRecord) -> None:
        name = record.member.instance.name
        if record.member.state in (MemberState.SUSPECT, MemberState.GONE):
            self._watched.add(name)
        else:
            self._watched.discard(name)

    def _advance_state_sequence(self) -> int:
        self._sequence += 1
        self.state_sequence = self._sequence
        return self._sequence

    def _record_state_change(self, record: MemberRecord, known: Member, now: float) -> None:
        refuted = known.state == MemberState.SUSPECT and record.member.state == MemberState.LIVE
        if refuted and record.member.incarnation == known.incarnation + 1:
            # If only the link between two live instances is cut, one suspects the other and is
            # refuted through the rest of the fleet, again with each round. Doubling the allowed
            # silence bounds this traffic. A restart (another incarnation) does not double it.
            record.suspicion_factor = min(record.suspicion_factor * 2.0, MAX_SUSPICION_FACTOR)
        record.changed_at = now
        record.first_seen_gone = False
        self._watch(record)
        number = self._advance_state_sequence()
        self._state_changes.record(known.instance.name, number)
        if record.member.incarnation != known.incarnation:
            record.incarnation_sequence = number
        self._overlay_stale = True

    def _set_state(self, record: MemberRecord, state: MemberState, now: float) -> None:
        known = record.member
        record.member = replace(known, state=state)
        self._record_state_change(record, known, now)

    def _set_own_state(self, state: MemberState) -> None:
        if state > self._me.state:
            self._me = replace(self._me, state=state)
            self._advance_state_sequence()

    def _compensate_for_pause(self, now: float) -> None:
        """Shift the recorded times by the time for which this process was paused.

        Without this, a process that was stopped for a minute finds all neighbours silent for a
        minute and declares them gone before it has read what they sent. The shift leaves them
        their full allowed silence from now on.
        """
        gap = now - self._ticked_at - self._timing.period_s
        if gap <= self._timing.period_s:
            return
        for record in self._records.values():
            record.heartbeat_at = min(record.heartbeat_at + gap, now)
            if record.member.state == MemberState.SUSPECT:
                record.changed_at = min(record.changed_at + gap, now)

    def _publish(self, now: float) -> None:
        load = self._me.load
        timing = self._timing
        period = max(timing.load_period_s, len(self._records) / timing.loads_per_second)
        due = now - self._load_published_at >= period
        if due and abs(self._load - load) > MIN_LOAD_CHANGE * max(load, self._load):
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
            record.heartbeat_at = max(record.heartbeat_at, now)
            record.suspicion_factor = 1.0
        self._neighbours = neighbours

    def _check_record(self, name: str, record: MemberRecord, now: float) -> None:
        timing = self._timing
        state = record.member.state
        if state == MemberState.GONE:
            if now - record.changed_at > timing.forget_after_s:
                del self._records[name]
                self._state_changes.drop(name)
                self._detail_changes.drop(name)
                self._watched.discard(name)
                self._overlay.forget(name)
            return
        silence = now - record.heartbeat_at
        if silence <= timing.period_s:
            record.suspicion_factor = max(1.0, record.suspicion_factor * SUSPICION_FACTOR_DECAY)
        allowed = timing.suspect_after_s * record.suspicion_factor
        if state == MemberState.SUSPECT:
            refutation_time = (
                timing.refused_gone_after_s if record.refused_connection else timing.gone_after_s
            )
            if min(silence, now - record.changed_at) > refutation_time:
                self._set_state(record, MemberState.GONE, now)
        elif name in self._neighbours and silence > allowed:
            if state == MemberState.LIVE:
                self._set_state(record, MemberState.SUSPECT, now)
            elif record.refused_connection or silence > allowed + timing.gone_after_s:
                self._set_state(record, MemberState.GONE, now)
