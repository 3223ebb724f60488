"""Commands that call an instance and print its response."""

from __future__ import annotations

import asyncio
import json as json_codec
from typing import TYPE_CHECKING, Any

from guavamast.errors import ErrorCode, GuavamastError
from guavamast.task import EXIT_OK, Task

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from guavamast.operator_client import OperatorClient


def build_client_task(
    call: Callable[[OperatorClient], Awaitable[dict[str, Any]]],
    show: Callable[[dict[str, Any]], str],
    *,
    via: str,
    token_file: str,
    json: bool,
) -> Task:
    """Return a task that calls an instance and prints the response.

    Args:
        call: Calls the instance.
        show: Formats the response as text.
        via: Base URL of the instance.
        token_file: File with the operator's token.
        json: Whether to print the response as JSON instead.
    """

    def act() -> int:
        from guavamast.operator_client import OperatorClient, parse_url, read_token

        client = OperatorClient(url=parse_url(via), token=read_token(token_file))
        answer = asyncio.run(_await(call(client)))
        print(json_codec.dumps(answer) if json else _format_checked(show, answer))
        return EXIT_OK

    return Task(act)


def _format_checked(show: Callable[[dict[str, Any]], str], answer: dict[str, Any]) -> str:
    """Format a response, which may come from a server that is not an instance."""
    try:
        return show(answer)
    except (AttributeError, KeyError, TypeError, ValueError):
        message = f"unexpected response from the instance: {json_codec.dumps(answer)[:200]}"
        raise GuavamastError(ErrorCode.INTERNAL, message) from None


async def _await(call: Awaitable[dict[str, Any]]) -> dict[str, Any]:
    return await call
