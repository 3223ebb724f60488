"""Encoding of membership records as protocol messages."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.fleet_objects import FailureDomain, Instance
from guavamast.members import Member, MemberState
from guavamast.peer_pb2 import MemberMessage

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavamast.members import MembershipView

_STATES: Final = frozenset(int(state) for state in MemberState)


def encode_member(member: Member) -> MemberMessage:
    """Return a message with the whole record."""
    message = encode_changing_fields(member)
    message.failure_domain = member.instance.failure_domain.name
    message.region = member.instance.failure_domain.region
    message.caller_address = member.instance.caller_address
    message.peer_address = member.instance.peer_address
    return message


def encode_changing_fields(member: Member) -> MemberMessage:
    """Return a message without the instance, for a receiver that knows this incarnation."""
    return MemberMessage(
        name=member.instance.name,
        incarnation=member.incarnation,
        state=int(member.state),
        heartbeat=member.heartbeat,
        configuration_version=member.configuration_version,
        load=member.load,
    )


def decode_member(message: MemberMessage, *, known: Member | None = None) -> Member | None:
    """Return the record of a message.

    Args:
        message: A whole record, or one without its instance.
        known: The receiver's record of the same name.

    Returns:
        The record, or None when its instance is neither included nor known, or its state is
        unknown.
    """
    if message.state not in _STATES:
        # A later release may add states. Skipping its record keeps the stream open.
        return None
    instance = _decode_instance(message)
    if instance is None:
        if known is None or known.incarnation != message.incarnation:
            return None
        instance = known.instance
    return Member(
        instance=instance,
        incarnation=message.incarnation,
        state=MemberState(message.state),
        heartbeat=message.heartbeat,
        configuration_version=message.configuration_version,
        load=message.load,
    )


def encode_view(view: MembershipView) -> list[MemberMessage]:
    """Return all members of a view as messages."""
    return [encode_member(member) for member in view.members]


def decode_members(messages: Iterable[MemberMessage]) -> tuple[Member, ...]:
    """Return the records of the messages that are whole, without the others."""
    decoded = (decode_member(message) for message in messages)
    return tuple(member for member in decoded if member is not None)


def _decode_instance(message: MemberMessage) -> Instance | None:
    if not message.peer_address:
        return None
    return Instance(
        name=message.name,
        failure_domain=FailureDomain(name=message.failure_domain, region=message.region),
        caller_address=message.caller_address,
        peer_address=message.peer_address,
    )
