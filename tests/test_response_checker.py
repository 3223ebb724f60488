"""Tests of the validation of engines' streams."""

from __future__ import annotations

import json
import unittest
import zlib

from hypothesis import given
from hypothesis import strategies as st

from guavamast.event_stream import DONE, Event, EventDecoder, encode_event
from guavamast.response_checker import AnswerInvalid, ResponseChecker


def build_chunks(request_id: str, texts: list[str], start: int = 0) -> list[Event]:
    """Return the events of a correct response from an index on."""
    events = []
    for index in range(start, len(texts)):
        chunk = {
            "id": request_id,
            "index": index,
            "crc32": zlib.crc32("".join(texts[: index + 1]).encode()),
            "choices": [
                {
                    "delta": {"content": texts[index]},
                    "finish_reason": "stop" if index == len(texts) - 1 else None,
                }
            ],
        }
        events.append(Event(data=json.dumps(chunk)))
    return [*events, Event(data=DONE)]


def read_text(checker: ResponseChecker, events: list[Event]) -> str:
    """Return the text that a checker accepts."""
    chunks = [checker.check(event) for event in events]
    return "".join(chunk.text for chunk in chunks if chunk is not None)


TEXTS = st.lists(st.text(min_size=1, max_size=8), min_size=1, max_size=12)


class ResponseCheckerTest(unittest.TestCase):
    """Whatever an engine sends, only a correct prefix of the response is accepted."""

    @given(texts=TEXTS, cut=st.integers(0, 12))
    def test_correct_response_resumed_at_any_chunk(self, texts: list[str], cut: int) -> None:
        cut = min(cut, len(texts) - 1)
        first = ResponseChecker(request_id="a")
        text = read_text(first, build_chunks("a", texts)[:cut])
        second = ResponseChecker(request_id="b", next_index=cut, text_crc=first.text_crc)
        text += read_text(second, build_chunks("b", texts, start=cut))
        self.assertEqual(text, "".join(texts))
        self.assertTrue(second.whole)
        self.assertFalse(first.whole)

    @given(
        texts=TEXTS,
        other=TEXTS,
        edits=st.lists(
            st.tuples(st.sampled_from(["drop", "repeat", "swap", "cross"]), st.integers(0, 12))
        ),
    )
    def test_corrupted_stream_never_yields_wrong_text(
        self, texts: list[str], other: list[str], edits: list[tuple[str, int]]
    ) -> None:
        events = build_chunks("a", texts)
        other_events = build_chunks("b", other)
        for kind, place in edits:
            corrupt(events, other_events, kind, place % max(1, len(events)))
        checker = ResponseChecker(request_id="a")
        passed = ""
        try:
            for event in events:
                chunk = checker.check(event)
                passed += chunk.text if chunk else ""
        except AnswerInvalid:
            pass
        self.assertTrue("".join(texts).startswith(passed))
        if checker.whole:
            self.assertEqual(passed, "".join(texts))

    @given(data=st.text())
    def test_garbage_raises_only_answer_invalid(self, data: str) -> None:
        checker = ResponseChecker(request_id="a")
        if data != DONE:
            with self.assertRaises(AnswerInvalid):
                checker.check(Event(data=data))

    @given(texts=st.lists(st.sampled_from("ab"), min_size=2, max_size=8), place=st.integers(0, 7))
    def test_order_is_checked_without_checksums(self, texts: list[str], place: int) -> None:
        # Checksums are optional; without them, the index reveals dropped and repeated chunks.
        for kind in ("drop", "repeat"):
            events = build_chunks("a", texts)
            for event in events[:-1]:
                body = json.loads(event.data)
                del body["crc32"]
                events[events.index(event)] = Event(data=json.dumps(body))
            corrupt(events, events, kind, place % len(texts))
            checker = ResponseChecker(request_id="a")
            with self.assertRaises(AnswerInvalid):
                read_text(checker, events)

    def test_garbled_text_fails_its_checksum(self) -> None:
        events = build_chunks("a", ["one ", "two "])
        body = json.loads(events[1].data)
        body["choices"][0]["delta"]["content"] = "own "
        checker = ResponseChecker(request_id="a")
        checker.check(events[0])
        with self.assertRaises(AnswerInvalid):
            checker.check(Event(data=json.dumps(body)))


def corrupt(events: list[Event], other_events: list[Event], kind: str, index: int) -> None:
    """Corrupt one event of a stream."""
    if not events:
        return
    if kind == "drop":
        del events[index]
    elif kind == "repeat":
        events.insert(index, events[index])
    elif kind == "swap":
        events[index], events[-1] = events[-1], events[index]
    else:
        events[index] = other_events[index % len(other_events)]


class EventDecoderTest(unittest.TestCase):
    """Events are decoded whole, wherever the chunk boundaries fall."""

    @given(datas=st.lists(st.text(alphabet='abé{}"', min_size=1)), size=st.integers(1, 20))
    def test_any_cut_gives_the_same_events(self, datas: list[str], size: int) -> None:
        stream = b"".join(encode_event(data) for data in datas)
        decoder = EventDecoder()
        events = []
        for place in range(0, len(stream), size):
            events += decoder.decode(stream[place : place + size])
        self.assertEqual([event.data for event in events], datas)
