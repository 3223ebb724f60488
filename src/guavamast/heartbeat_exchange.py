"""Content of the heartbeats between two instances.

A message carries the sender's own record, the records whose incarnation or state changed since the
last message on the same stream, a few whose load or version changed, and a digest of all members by
which the receiver detects that its records differ.
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
"""Records per message whose load or version alone changed; bounds the bytes of a busy fleet."""
DIGEST_MISMATCH_S: Final = 2.5
"""Time for which digests may differ before a full sync; updates normally spread in less."""
FULL_SYNC_INTERVAL_S: Final = 1.0
"""Shortest interval between two requests of one instance for all records.

Without this, when many instances leave at once, the digests of all links differ and each end
requests all records from every neighbour. One neighbour's reply makes most other requests needless.
"""


@dataclass(slots=True, kw_only=True)
class ExchangeState:
    """What the two ends of one stream have sent each other; not kept for a later stream."""

    peer: str = ""
    """Name of the other end; empty until its first message."""
    received_at: float | None = None
    """Time at which its last message was received."""
    sent_own: tuple[int, MemberState] | None = None
    sent_state_sequence: int | None = None
    """Sequence number up to which state changes were sent; None if nothing was sent yet."""
    sent_detail_sequence: int = 0
    mismatch_since: float = float("-inf")
    """Start of the digest mismatch; the initial value makes the first mismatch overdue at once."""
    sent_version: int = -1
    requests_members: bool = False
    must_send_members: bool = False
    pending_offer: ConfigurationOffer | None = field(default=None)


@dataclass(frozen=True, slots=True, kw_only=True)
class ReceivedChanges:
    """What a received message changed."""

    members: bool
    configuration: bool


class HeartbeatExchange:
    """Builds and applies heartbeat messages; does no I/O.

    Args:
        membership: This instance's membership.
        spread: This instance's configuration.
    """

    __slots__ = ("_requested_at", "_digest", "_digest_sequence", "_membership", "_spread")

    def __init__(self, *, membership: Membership, spread: ConfigurationSpread) -> None:
        self._membership = membership
        self._spread = spread
        self._requested_at = float("-inf")
        self._digest = 0
        self._digest_sequence = -1

    def has_updates(self, state: ExchangeState, *, now: float) -> bool:
        """Return whether there are updates to send before the next period."""
        return (
            state.sent_own != self._get_own_state()
            or state.must_send_members
            or state.requests_members
            or state.pending_offer is not None
            or state.sent_version != self._spread.version
            or state.sent_state_sequence is None
            or self._membership.state_sequence > state.sent_state_sequence
            or self._spread.should_request_from(state.peer, now=now)
        )

    def build_message(self, state: ExchangeState, *, now: float) -> HeartbeatMessage:
        """Return the next message of a stream and record its content as sent.

        Args:
            state: The stream's state.
            now: Current time.

        Returns:
            The message. A stream is ordered and reliable while it lasts, so its content needs no
            acknowledgement; the stream that replaces a broken one starts with a digest.
        """
        message = HeartbeatMessage(
            sender=self._membership.me.instance.name,
            configuration_version=self._spread.version,
            members_digest=self.compute_digest(),
        )
        self._add_members(message, state)
        self._add_configuration(message, state, now)
        return message

    def apply_message(
        self, message: HeartbeatMessage, state: ExchangeState, *, now: float
    ) -> ReceivedChanges:
        """Apply a message received on a stream.

        Args:
            message: The message.
            state: The stream's state; afterwards `has_news` returns whether a reply is due.
            now: Current time.

        Returns:
            Whether the members and the configuration changed.
        """
        state.peer, state.received_at = message.sender, now
        changed = self._apply_members(message, state, now)
        configured = self._apply_configuration(message, state, now)
        return ReceivedChanges(members=changed, configuration=configured)

    def compute_digest(self) -> int:
        """Return the digest of the members, cached until the next change."""
        if self._digest_sequence != self._membership.state_sequence:
            self._digest = self._membership.compute_digest()
            self._digest_sequence = self._membership.state_sequence
        return self._digest

    def _get_own_state(self) -> tuple[int, MemberState]:
        me = self._membership.me
        return me.incarnation, me.state

    def _add_members(self, message: HeartbeatMessage, state: ExchangeState) -> None:
        membership = self._membership
        own = membership.me
        if state.sent_own != self._get_own_state():
            message.members.append(encode_member(own))
        else:
            message.members.append(encode_changing_fields(own))
        if state.must_send_members:
            members = [member for member in membership.list_shareable() if member is not own]
            message.members.extend(encode_member(member) for member in members)
        elif (
            state.sent_state_sequence is not None
            and membership.state_sequence > state.sent_state_sequence
        ):
            message.members.extend(self._encode_updates(state.sent_state_sequence))
        if state.sent_state_sequence is None or state.must_send_members:
            state.sent_detail_sequence = membership.sequence
        self._add_details(message, state)
        message.wants_members = state.requests_members
        state.sent_own = self._get_own_state()
        state.sent_state_sequence = membership.state_sequence
        state.must_send_members = state.requests_members = False

    def _encode_updates(self, after: int) -> list[MemberMessage]:
        return [
            (
                encode_member(update.member)
                if update.new_incarnation
                else encode_changing_fields(update.member)
            )
            for update in self._membership.list_updates(after=after)
        ]

    def _add_details(self, message: HeartbeatMessage, state: ExchangeState) -> None:
        if self._membership.sequence == state.sent_detail_sequence:
            return
        details = self._membership.list_detail_changes(after=state.sent_detail_sequence)
        sent = details[:DETAILS_PER_MESSAGE]
        message.members.extend(encode_changing_fields(member) for _, member in sent)
        complete = len(sent) == len(details)
        state.sent_detail_sequence = self._membership.sequence if complete else sent[-1][0]

    def _apply_members(self, message: HeartbeatMessage, state: ExchangeState, now: float) -> bool:
        membership = self._membership
        before, state_before = membership.sequence, membership.state_sequence
        membership.merge(self._decode(message), now=now)
        # Changes received from the peer need not be sent back, unless older ones are unsent too.
        if state.sent_detail_sequence == before:
            state.sent_detail_sequence = membership.sequence
        if state.sent_state_sequence == state_before:
            state.sent_state_sequence = membership.state_sequence
        self._compare_digests(message, state, now)
        state.must_send_members = state.must_send_members or message.wants_members
        return membership.state_sequence != state_before

    def _decode(self, message: HeartbeatMessage) -> list[Member]:
        decoded = (
            decode_member(item, known=self._membership.get(item.name)) for item in message.members
        )
        return [member for member in decoded if member is not None]

    def _compare_digests(self, message: HeartbeatMessage, state: ExchangeState, now: float) -> None:
        if message.members_digest == self.compute_digest():
            state.mismatch_since = float("inf")
            return
        state.mismatch_since = min(state.mismatch_since, now)
        overdue = now - state.mismatch_since >= DIGEST_MISMATCH_S
        if overdue and now - self._requested_at >= FULL_SYNC_INTERVAL_S:
            state.mismatch_since = self._requested_at = now
            state.requests_members = True

    def _add_configuration(
        self, message: HeartbeatMessage, state: ExchangeState, now: float
    ) -> None:
        state.sent_version = self._spread.version
        offer = state.pending_offer or self._spread.choose_push(state.peer)
        state.pending_offer = None
        if offer is not None:
            message.configuration_text = offer.text
            message.configuration_changes.extend(_encode_delta(delta) for delta in offer.deltas)
            self._spread.record_pushed(state.peer)
        if self._spread.should_request_from(state.peer, now=now):
            message.wants_configuration = True
            message.wants_configuration_above = self._spread.record_request(state.peer, now=now)

    def _apply_configuration(
        self, message: HeartbeatMessage, state: ExchangeState, now: float
    ) -> bool:
        spread = self._spread
        before = spread.version
        spread.record_peer_version(message.sender, message.configuration_version, now=now)
        offer = _decode_offer(message)
        if offer is not None:
            spread.apply_offer(offer, now=now)
        if message.wants_configuration:
            state.pending_offer = spread.create_offer(message.wants_configuration_above)
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
