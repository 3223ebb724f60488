"""Fair turns of the event loop for those that read what others send without end.

An ``await`` that finds its data returns without giving the loop a turn. A peer that sends in many
small parts then occupies the loop for as long as its bytes last, and nothing else is served: 256 KB
in chunks of a byte take half a second.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Final
from weakref import WeakKeyDictionary

LONGEST_TURN_S: Final = 0.002
"""Seconds for which a reader may go on while others wait for the loop."""


class _LoopTurns:
    """The iterations of one event loop, and the readers that wait for a turn in one of them."""

    __slots__ = ("_is_counted", "_number", "_waiting")

    def __init__(self) -> None:
        self._number = 0
        self._is_counted = False
        self._waiting: deque[asyncio.Future[None]] = deque()

    def find_number(self) -> int:
        """Return the number of the loop's present iteration."""
        if not self._is_counted:
            self._is_counted = True
            self._number += 1
            asyncio.get_running_loop().call_soon(self._end_iteration)
        return self._number

    async def wait(self) -> None:
        """Return when it is the caller's turn: one waiting reader has it in each iteration."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiting.append(turn)
        if len(self._waiting) == 1:
            loop.call_soon(self._give_turn)
        await turn

    def _end_iteration(self) -> None:
        self._is_counted = False

    def _give_turn(self) -> None:
        """Give the first reader a turn in the next iteration, and a later one to the next."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._give_turn)


_TURNS: Final[WeakKeyDictionary[asyncio.AbstractEventLoop, _LoopTurns]] = WeakKeyDictionary()
"""The turns of each loop; in a process there is one."""


class ReaderTurn:
    """The share of one reader in the present iteration of the loop.

    Failure: a reader that gives the loop a turn after each part it reads is slow where nothing else
    waits, and many of them together still take all of each iteration but a step. So a reader goes
    on for ``LONGEST_TURN_S``, and those whose time is over take turns, one in each iteration.
    """

    __slots__ = ("_began_at", "_number", "_turns")

    def __init__(self) -> None:
        self._turns: _LoopTurns | None = None
        self._number = 0
        self._began_at = 0.0

    def renew(self) -> None:
        """Begin a turn with the next part, as the reader has just waited for its data."""
        self._number = 0

    def is_over(self) -> bool:
        """Return whether the reader has used its time in this iteration."""
        if self._turns is None:
            self._turns = _find_turns()
        number = self._turns.find_number()
        now = asyncio.get_running_loop().time()
        if number != self._number:
            self._number = number
            self._began_at = now
        return now - self._began_at >= LONGEST_TURN_S

    async def wait_next(self) -> None:
        """Wait for the reader's next turn."""
        await _find_turns().wait()
        self.renew()


def _find_turns() -> _LoopTurns:
    loop = asyncio.get_running_loop()
    turns = _TURNS.get(loop)
    if turns is None:
        turns = _TURNS[loop] = _LoopTurns()
    return turns
