"""Tests of the check whether a response that ended with its connection was broken off."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Final

from guavamast.relay.response_end import BodyEnding
from guavamast.relay.response_end_check import ListenProbe, ListenState, ResponseEndCheck
from tests.relay_fixtures import build_endpoint
from tests.test_relay_caller_admission import AdmissionSimulation

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavamast.relay.endpoint_table import EndpointRecord

ACCEPTED: Final = ListenState.ACCEPTED
REFUSED: Final = ListenState.REFUSED
SILENT: Final = ListenState.SILENT
READY: Final = (build_endpoint("x"),)
LEAVING: Final = (build_endpoint("x", ready=False),)
UNLISTED: Final = (build_endpoint("y", port=10),)


class ScriptedProbe(ListenProbe):
    """A host with a fixed sequence of states."""

    def __init__(self, states: Iterable[ListenState]) -> None:
        self.left = list(states)

    async def check_listening(self, record: EndpointRecord, *, timeout_s: float) -> ListenState:
        del record, timeout_s
        return self.left.pop(0)


class ResponseEndCheckTest(unittest.IsolatedAsyncioTestCase):
    """The end of a response is believed by what its endpoint's host does, and what is listed."""

    async def check_end(
        self,
        listed: tuple[EndpointRecord, ...],
        states: tuple[ListenState, ...],
        *,
        ending: BodyEnding = BodyEnding.CLOSED,
        event_stream: bool = True,
    ) -> bool:
        """Return whether a response counts as broken off; all given states must be needed."""
        simulation = AdmissionSimulation()
        simulation.change_endpoints(*listed)
        probe = ScriptedProbe(states)
        check = ResponseEndCheck(
            probe=probe,
            admission=simulation.admission,
            fleet_state=simulation.fleet_state,
            read_time=lambda: simulation.now,
        )
        broken = await check.is_broken_off(
            build_endpoint("x"), ending=ending, event_stream=event_stream
        )
        self.assertEqual(probe.left, [])
        return broken

    async def test_leaving_endpoints_are_believed_while_they_listen(self) -> None:
        """Guards against a short stream that looks complete, as its engine was to leave.

        An engine that exits may listen a little longer than its connections last, and its host may
        fall silent with it. One connection that is lost on the way must not cut a whole stream.
        """
        for listed in (LEAVING, UNLISTED):
            for states, broken in (
                ((ACCEPTED, ACCEPTED), False),
                ((REFUSED,), True),
                ((ACCEPTED, REFUSED), True),
                ((SILENT, REFUSED), True),
                ((SILENT, SILENT), True),
                ((SILENT, ACCEPTED), False),
                ((ACCEPTED, SILENT), False),
            ):
                with self.subTest(listed=listed, states=states):
                    self.assertIs(await self.check_end(listed, states), broken)

    async def test_plain_responses_of_leaving_endpoints_are_believed_at_once(self) -> None:
        """Guards against whole calls that fail, as their engine exits soon after them."""
        for listed in (LEAVING, UNLISTED):
            for states, broken in (
                ((ACCEPTED,), False),
                ((REFUSED,), True),
                ((SILENT, ACCEPTED), False),
                ((SILENT, SILENT), True),
            ):
                with self.subTest(listed=listed, states=states):
                    result = await self.check_end(listed, states, event_stream=False)
                    self.assertIs(result, broken)

    async def test_only_a_refusal_counts_against_ready_endpoints(self) -> None:
        """Guards against whole responses that are cut, as a sound engine is slow to accept."""
        for event_stream in (True, False):
            for state in ListenState:
                with self.subTest(event_stream=event_stream, state=state):
                    broken = await self.check_end(READY, (state,), event_stream=event_stream)
                    self.assertIs(broken, state is REFUSED)

    async def test_an_address_of_another_endpoint_shows_the_end_of_the_first(self) -> None:
        """Guards against a suspended process that takes another engine for the one that ended.

        The engine ends, another one takes its address, and only then the instance goes on: it reads
        the end of the stream, and a connection to the address is accepted.
        """
        successor = build_endpoint("y", started_ms=2)
        for listed in ((successor,), (*LEAVING, successor), (*READY, successor)):
            with self.subTest(listed=listed):
                self.assertTrue(await self.check_end(listed, ()))

    async def test_an_endpoint_may_have_the_address_of_an_earlier_one(self) -> None:
        """Guards against whole streams that are cut while the store still lists a predecessor."""
        predecessor = build_endpoint("y", started_ms=0)
        self.assertFalse(await self.check_end((*READY, predecessor), (ACCEPTED,)))

    async def test_endpoints_are_not_asked_where_it_is_known(self) -> None:
        """Guards against connections to endpoints that can tell nothing."""
        restarted = (build_endpoint("x", started_ms=2),)
        self.assertTrue(await self.check_end(restarted, ()))
        for ending in (BodyEnding.FRAMED, BodyEnding.OPEN, BodyEnding.RESET):
            with self.subTest(ending=ending):
                self.assertFalse(await self.check_end(LEAVING, (), ending=ending))


if __name__ == "__main__":
    unittest.main()
