"""What rides on each heartbeat between two instances.

A message carries the sender's own record, the records whose incarnation or state changed since the
last message on the same stream, a few whose load or version changed, and a digest of all members by
which the receiver sees that it misses something.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from guavamast.configuration_delta import ConfigurationDelta
from guavamast.configuration_spread import ConfigurationOffer
from guavamast.member_codec import decode_member, encode_changing_fields, encode_member
from guavamast.peer_pb2 import ConfigurationChange, HeartbeatMessage

if TYPE_CHECKING:
    from guavamast.configuration_spread import ConfigurationSpread
    from guavamast.members import Member, MemberState
    from guavamast.membership import Membership
    from guavamast.peer_pb2 import MemberMessage

DETAILS_PER_MESSAGE: Final = 8
"""Records a message whose load or version alone changed; bounds the bytes of a busy fleet."""
MISMATCH_S: Final = 2.5
"""Time for which digests differ until all records are asked for; news goes round in less."""
ASK_INTERVAL_S: Final = 1.0
"""Shortest time between two requests of one instance for all records.

Failure: many instances go at once, the digests of all links differ, and each end asks each
neighbour for everything. What one neighbour sends makes most of the other requests needless.
"""


@dataclass(slots=True, kw_only=True)
class ExchangeState:
    """What one stream's two ends have told each other. A new stream starts with a new one."""

    peer: str = ""
    """Name of the other end; empty until its first message."""
    heard_at: float | None = None
    """When its last message came."""
    told_own: tuple[int, MemberState] | None = None
    told_news: int | None = None
    """Sequence number up to which news was told; None stands for nothing said yet."""
    told_details: int = 0
    differs_since: float = float("-inf")
    """Since when the digests have differed; the first one that does counts at once."""
    told_version: int = -1
    asks_members: bool = False
    owes_members: bool = False
    owed_offer: ConfigurationOffer | None = field(default=None)


@dataclass(frozen=True, slots=True, kw_only=True)
class HeardChanges:
    """What one message changed."""

    members: bool
    configuration: bool


class HeartbeatExchange:
    """Makes and takes heartbeat messages; holds no stream.

    Args:
        membership: This instance's membership.
        spread: This instance's configuration.
    """

    __slots__ = ("_asked_at", "_digest", "_digest_sequence", "_membership", "_spread")

    def __init__(self, *, membership: Membership, spread: ConfigurationSpread) -> None:
        self._membership = membership
        self._spread = spread
        self._asked_at = float("-inf")
        self._digest = 0
        self._digest_sequence = -1

    def has_news(self, state: ExchangeState, *, now: float) -> bool:
        """Return whether a message should be sent before the next period."""
        return (
            state.told_own != self._describe_own()
            or state.owes_members
            or state.asks_members
            or state.owed_offer is not None
            or state.told_version != self._spread.version
            or state.told_news is None
            or self._membership.news_sequence > state.told_news
            or self._spread.wants_from(state.peer, now=now)
        )

    def make_message(self, state: ExchangeState, *, now: float) -> HeartbeatMessage:
        """Return the next message of a stream and note it as told.

        Args:
            state: The stream's state.
            now: The present time.

        Returns:
            The message. Streams keep order and lose nothing while they last, so what is in it
            needs no acknowledgement; a broken stream's successor starts with a digest.
        """
        message = HeartbeatMessage(
            sender=self._membership.me.instance.name,
            configuration_version=self._spread.version,
            members_digest=self.compute_digest(),
        )
        self._add_members(message, state)
        self._add_configuration(message, state, now)
        return message

    def take_message(
        self, message: HeartbeatMessage, state: ExchangeState, *, now: float
    ) -> HeardChanges:
        """Take in a message of a stream.

        Args:
            message: The message.
            state: The stream's state; afterwards `has_news` tells whether an answer is due.
            now: The present time.

        Returns:
            Which of the things that others follow have changed.
        """
        state.peer, state.heard_at = message.sender, now
        changed = self._take_members(message, state, now)
        configured = self._take_configuration(message, state, now)
        return HeardChanges(members=changed, configuration=configured)

    def compute_digest(self) -> int:
        """Return the digest of the members, computed again after a change alone."""
        if self._digest_sequence != self._membership.news_sequence:
            self._digest = self._membership.compute_digest()
            self._digest_sequence = self._membership.news_sequence
        return self._digest

    def _describe_own(self) -> tuple[int, MemberState]:
        me = self._membership.me
        return me.incarnation, me.state

    def _add_members(self, message: HeartbeatMessage, state: ExchangeState) -> None:
        membership = self._membership
        own = membership.me
        if state.told_own != self._describe_own():
            message.members.append(encode_member(own))
        else:
            message.members.append(encode_changing_fields(own))
        if state.owes_members:
            told = [member for member in membership.list_all() if member is not own]
            message.members.extend(encode_member(member) for member in told)
        elif state.told_news is not None and membership.news_sequence > state.told_news:
            message.members.extend(self._encode_news(state.told_news))
        if state.told_news is None or state.owes_members:
            state.told_details = membership.sequence
        self._add_details(message, state)
        message.wants_members = state.asks_members
        state.told_own = self._describe_own()
        state.told_news = membership.news_sequence
        state.owes_members = state.asks_members = False

    def _encode_news(self, after: int) -> list[MemberMessage]:
        return [
            (
                encode_member(news.member)
                if news.new_incarnation
                else encode_changing_fields(news.member)
            )
            for news in self._membership.list_news(after=after)
        ]

    def _add_details(self, message: HeartbeatMessage, state: ExchangeState) -> None:
        if self._membership.sequence == state.told_details:
            return
        details = self._membership.list_details(after=state.told_details)
        sent = details[:DETAILS_PER_MESSAGE]
        message.members.extend(encode_changing_fields(member) for _, member in sent)
        complete = len(sent) == len(details)
        state.told_details = self._membership.sequence if complete else sent[-1][0]

    def _take_members(self, message: HeartbeatMessage, state: ExchangeState, now: float) -> bool:
        membership = self._membership
        before, news_before = membership.sequence, membership.news_sequence
        membership.merge(self._decode(message), now=now)
        # What came from this end need not be told back to it, unless older news waits as well.
        if state.told_details == before:
            state.told_details = membership.sequence
        if state.told_news == news_before:
            state.told_news = membership.news_sequence
        self._compare_digests(message, state, now)
        state.owes_members = state.owes_members or message.wants_members
        return membership.news_sequence != news_before

    def _decode(self, message: HeartbeatMessage) -> list[Member]:
        decoded = (
            decode_member(item, known=self._membership.find(item.name)) for item in message.members
        )
        return [member for member in decoded if member is not None]

    def _compare_digests(self, message: HeartbeatMessage, state: ExchangeState, now: float) -> None:
        if message.members_digest == self.compute_digest():
            state.differs_since = float("inf")
            return
        state.differs_since = min(state.differs_since, now)
        overdue = now - state.differs_since >= MISMATCH_S
        if overdue and now - self._asked_at >= ASK_INTERVAL_S:
            state.differs_since = self._asked_at = now
            state.asks_members = True

    def _add_configuration(
        self, message: HeartbeatMessage, state: ExchangeState, now: float
    ) -> None:
        state.told_version = self._spread.version
        offer = state.owed_offer or self._spread.choose_push(state.peer)
        state.owed_offer = None
        if offer is not None:
            message.configuration_text = offer.text
            message.configuration_changes.extend(_encode_delta(delta) for delta in offer.deltas)
            self._spread.note_pushed(state.peer)
        if self._spread.wants_from(state.peer, now=now):
            message.wants_configuration = True
            message.wants_configuration_above = self._spread.ask(state.peer, now=now)

    def _take_configuration(
        self, message: HeartbeatMessage, state: ExchangeState, now: float
    ) -> bool:
        spread = self._spread
        before = spread.version
        spread.hear_peer(message.sender, message.configuration_version, now=now)
        offer = _decode_offer(message)
        if offer is not None:
            spread.take_offer(offer, now=now)
        if message.wants_configuration:
            state.owed_offer = spread.make_offer(message.wants_configuration_above)
        self._membership.set_configuration_version(spread.version)
        return spread.version != before


def _encode_delta(delta: ConfigurationDelta) -> ConfigurationChange:
    return ConfigurationChange(
        base=delta.base,
        version=delta.version,
        start=delta.start,
        end=delta.end,
        middle=delta.middle,
        digest=delta.digest,
    )


def _decode_offer(message: HeartbeatMessage) -> ConfigurationOffer | None:
    if not message.configuration_changes and not message.configuration_text:
        return None
    deltas = tuple(
        ConfigurationDelta(
            base=change.base,
            version=change.version,
            start=change.start,
            end=change.end,
            middle=change.middle,
            digest=change.digest,
        )
        for change in message.configuration_changes
    )
    return ConfigurationOffer(
        version=message.configuration_version, deltas=deltas, text=message.configuration_text
    )
