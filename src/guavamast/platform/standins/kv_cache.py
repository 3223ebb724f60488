"""KV cache of an engine stand-in, beyond whose capacity the engine ends."""

from __future__ import annotations


class KvCache:
    """Counts the tokens of the requests that an engine holds, running and waiting.

    A request counts with its prompt and with all that it may produce.

    Args:
        capacity: Tokens that fit; None for any number.
    """

    __slots__ = ("capacity", "held", "most_held")

    def __init__(self, *, capacity: int | None = None) -> None:
        self.capacity = capacity
        self.held = 0
        """Tokens of the requests that are held now."""
        self.most_held = 0
        """Tokens that were held at most."""

    def hold(self, tokens: int) -> bool:
        """Count a request; return whether all that are held fit."""
        self.held += tokens
        self.most_held = max(self.most_held, self.held)
        return self.capacity is None or self.held <= self.capacity

    def release(self, tokens: int) -> None:
        """Count a request that has ended no longer."""
        self.held -= tokens


def count_tokens(headers: dict[str, str]) -> int:
    """Return the tokens of a request's prompt and of its longest response; 0 if not stated."""
    prompt, _, output = headers.get("x-token-usage", "").partition(",")
    return sum(
        int(part) for part in (prompt.strip(), output.strip()) if part.isascii() and part.isdigit()
    )
