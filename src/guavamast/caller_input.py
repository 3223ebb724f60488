"""Parsing and validation of callers' input.

Every function raises a `Refusal` with status 400 for invalid input, and no other exception.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from typing import Any, Final

from guavamast.errors import ErrorCode, Refusal, SendLatch

MAX_REQUEST_ID_LENGTH: Final = 128
MAX_IDEMPOTENCY_KEY_LENGTH: Final = 256
MAX_TIMEOUT_S: Final = 86_400.0
DEFAULT_MAX_TOKENS: Final = 4_096
MAX_MAX_TOKENS: Final = 1_000_000
BYTES_PER_TOKEN: Final = 4
"""Approximate length of a prompt token; used for load estimates only."""
PREFIX_BYTES: Final = 1_024
"""Length of the prompt prefix by which requests share an engine's prefix cache."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ChatBody:
    """The body of a chat request."""

    model: str
    messages: list[dict[str, Any]]
    stream: bool
    max_tokens: int

    def count_prompt_tokens(self) -> int:
        """Return an estimate of the number of prompt tokens."""
        return sum(len(message["content"]) for message in self.messages) // BYTES_PER_TOKEN

    def hash_prefix(self) -> str:
        """Return a key that is the same for prompts with the same prefix."""
        text = "\x00".join(message["content"] for message in self.messages)
        return hashlib.sha256(f"{self.model}\x00{text[:PREFIX_BYTES]}".encode()).hexdigest()[:16]


def reject_input(message: str, code: ErrorCode = ErrorCode.BAD_REQUEST) -> Refusal:
    """Return the rejection of a request with invalid input."""
    return SendLatch().reject(code, message, status=400)


def parse_bearer(header: str) -> str:
    """Return the key of an ``Authorization`` header; empty when there is none."""
    scheme, _, key = header.strip().partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def parse_timeout(header: str) -> float | None:
    """Return the seconds of an ``X-Request-Timeout-Ms`` header, None when it is empty."""
    if not header:
        return None
    if not (header.isascii() and header.isdigit()) or len(header) > 12:
        raise reject_input("X-Request-Timeout-Ms must be a whole number of milliseconds")
    seconds = int(header) / 1000.0
    if not 0 < seconds <= MAX_TIMEOUT_S:
        raise reject_input(f"X-Request-Timeout-Ms must be from 1 to {MAX_TIMEOUT_S * 1000:.0f}")
    return seconds


def parse_label(header: str, *, name: str, max_length: int) -> str:
    """Return a header's value; reject any but printable ASCII without spaces."""
    if len(header) > max_length or not all("!" <= char <= "~" for char in header):
        raise reject_input(f"{name} must be at most {max_length} printable ASCII characters")
    return header


def parse_json_object(body: bytes) -> dict[str, Any]:
    """Return the object of a JSON body."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise reject_input(f"the body is not JSON: {error}") from error
    if not isinstance(value, dict):
        raise reject_input("the body must be a JSON object")
    return value


def parse_chat_body(body: bytes) -> ChatBody:
    """Return the chat request of a body."""
    value = parse_json_object(body)
    model = value.get("model")
    if not isinstance(model, str) or not model:
        raise reject_input("model must be a string")
    stream = value.get("stream", False)
    if not isinstance(stream, bool):
        raise reject_input("stream must be true or false")
    max_tokens = value.get("max_tokens", DEFAULT_MAX_TOKENS)
    if type(max_tokens) is not int or not 0 < max_tokens <= MAX_MAX_TOKENS:
        raise reject_input(f"max_tokens must be a whole number from 1 to {MAX_MAX_TOKENS}")
    return ChatBody(
        model=model,
        messages=_parse_messages(value.get("messages")),
        stream=stream,
        max_tokens=max_tokens,
    )


def _parse_messages(messages: object) -> list[dict[str, Any]]:
    if not isinstance(messages, list) or not messages:
        raise reject_input("messages must be a non-empty list")
    for index, message in enumerate(messages):
        if not isinstance(message, dict):
            raise reject_input(f"messages[{index}] must be an object")
        if not isinstance(message.get("role"), str):
            raise reject_input(f"messages[{index}].role must be a string")
        if not _is_text(message.get("content")):
            raise reject_input(f"messages[{index}].content must be a string")
    return messages


def _is_text(value: object) -> bool:
    if not isinstance(value, str):
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False  # a lone surrogate, which JSON can escape and UTF-8 can't encode
    return True
