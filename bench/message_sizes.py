"""Encoded sizes of the slot messages of one request, in bytes.

Run with ``python -m bench.message_sizes``.
"""

from __future__ import annotations

import uuid
from typing import Final

from guavamast import peer_pb2
from guavamast._slot_wire import encode_ask, encode_event, encode_probe, encode_release
from guavamast.slots import Ask, Granted, Probe, Release

FRAMING: Final = 5 + 9 + 52
"""Overhead of a message that is sent alone: gRPC prefix, HTTP/2 frame, TCP/IP headers."""
ACKNOWLEDGEMENT: Final = 52
"""Size of the TCP segment that acknowledges it; at worst, there is one per message."""


def build_ask() -> Ask:
    """Return an ask with names of typical length."""
    return Ask(
        ask_id=uuid.uuid4().hex,
        entry="instance-123",
        endpoint="engine-namur-a-12",
        organisation="organisation-1234",
        class_name="drafting",
        tier=1,
        kind="chat",
        model="model-large",
        prompt_tokens=1200,
        max_tokens=4096,
        deadline=130.0,
    )


def run() -> None:
    """Print the size of each message and their sum."""
    ask = build_ask()
    probe = Probe(
        endpoint=ask.endpoint, in_flight=7, queued=3, estimated_wait_s=0.2, lowest_tier=3, slots=8
    )
    release = Release(
        ask_id=ask.ask_id,
        endpoint=ask.endpoint,
        used=True,
        tokens=440,
        first_token_s=0.2,
        duration_s=9.0,
    )
    ask_message = peer_pb2.EntryMessage(ask=encode_ask(ask, now=100.0))
    events = [encode_event(Granted(ask=ask)), encode_probe(probe)]
    batches = {
        "ask": peer_pb2.EntryBatch(messages=[ask_message]),
        "grant with probe": peer_pb2.KeeperBatch(messages=events),
        "release": peer_pb2.EntryBatch(messages=[encode_release(release)]),
    }
    total = 0
    for name, batch in batches.items():
        size = batch.ByteSize() + FRAMING + ACKNOWLEDGEMENT
        total += size
        print(f"{name}: {batch.ByteSize()} B, {size} B with headers and acknowledgement")
    print(f"one request at one keeper: {total} B at either end, both ways")


if __name__ == "__main__":
    run()
