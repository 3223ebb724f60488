"""Identity of a process that asks other instances."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Requester:
    """One process of an instance.

    Its replies name it. Addresses and numbers begin anew with each process, so the reply of a peer
    that was paused would otherwise be taken for the reply to another question of the next process.
    """

    instance: str
    incarnation: int
    """Start of the process in Unix milliseconds."""


def decode_requester(instance: object, incarnation: int) -> Requester:
    """Return the requester in two fields of a message.

    Raises:
        TypeError, ValueError: The start is no number.
    """
    return Requester(instance=str(instance), incarnation=int(incarnation))
