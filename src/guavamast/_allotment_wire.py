"""Conversion between allotments and their protobuf form."""

from __future__ import annotations

from guavamast import peer_pb2
from guavamast.allotments import Allotment, AllotmentAsk


def encode_allotment_ask(ask: AllotmentAsk) -> peer_pb2.EntryMessage:
    """Return the message of an entry's ask."""
    return peer_pb2.EntryMessage(
        allotment_ask=peer_pb2.AllotmentAskMessage(
            organisation=ask.organisation,
            sequence=ask.sequence,
            rate_wanted=ask.rate_wanted,
            concurrent_wanted=ask.concurrent_wanted,
            tokens_wanted=ask.tokens_wanted,
            held_concurrent=ask.held_concurrent,
        )
    )


def decode_allotment_ask(message: peer_pb2.AllotmentAskMessage, *, entry: str) -> AllotmentAsk:
    """Return the ask of a message."""
    return AllotmentAsk(
        organisation=message.organisation,
        entry=entry,
        sequence=message.sequence,
        rate_wanted=message.rate_wanted,
        concurrent_wanted=message.concurrent_wanted,
        tokens_wanted=message.tokens_wanted,
        held_concurrent=message.held_concurrent,
    )


def encode_allotment(allotment: Allotment) -> peer_pb2.KeeperMessage:
    """Return the message of an allotment."""
    return peer_pb2.KeeperMessage(
        allotment=peer_pb2.AllotmentMessage(
            organisation=allotment.organisation,
            sequence=allotment.sequence,
            tokens=allotment.tokens,
            concurrent=allotment.concurrent,
            tight=allotment.tight,
            hold_s=allotment.hold_s,
            valid_for_s=allotment.valid_for_s,
        )
    )


def decode_allotment(message: peer_pb2.AllotmentMessage) -> Allotment:
    """Return the allotment of a message."""
    return Allotment(
        organisation=message.organisation,
        sequence=message.sequence,
        tokens=message.tokens,
        concurrent=message.concurrent,
        tight=message.tight,
        hold_s=message.hold_s,
        valid_for_s=message.valid_for_s,
    )
