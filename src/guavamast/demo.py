"""Demo in one process: a plan, a streamed chat, a plain chat and a service call."""

from __future__ import annotations

import asyncio
import json
import uuid
from typing import TYPE_CHECKING, Any

from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from guavamast.local_fleet import CALLER_KEY, OPERATOR_TOKEN, LocalFleet
from guavamast.log import set_up_logs

if TYPE_CHECKING:
    from tornado.httpclient import HTTPResponse


async def post(
    url: str,
    body: bytes,
    *,
    key: str,
    headers: dict[str, str] | None = None,
) -> HTTPResponse:
    """Send one request with a bearer key and return the response, whatever its status."""
    request = HTTPRequest(
        url,
        method="POST",
        body=body,
        headers={"Authorization": f"Bearer {key}", **(headers or {})},
        request_timeout=60.0,
    )
    client = SimpleAsyncHTTPClient(force_instance=True)
    try:
        return await client.fetch(request, raise_error=False)
    finally:
        client.close()


def make_chat(prompt: str, *, stream: bool) -> bytes:
    """Return the request body of a chat."""
    body: dict[str, Any] = {
        "model": "small",
        "messages": [{"role": "user", "content": prompt}],
        "stream": stream,
    }
    return json.dumps(body).encode()


async def apply_configuration(url: str, text: str) -> int:
    """Propose and confirm a configuration; return its version."""
    planned = await post(f"{url}/v1/plans", text.encode(), key=OPERATOR_TOKEN)
    if planned.code != 201:
        raise RuntimeError(planned.body.decode())
    plan_id = json.loads(planned.body)["id"]
    confirmed = await post(f"{url}/v1/plans/{plan_id}/confirm", b"", key=OPERATOR_TOKEN)
    if confirmed.code != 200:
        raise RuntimeError(confirmed.body.decode())
    return json.loads(confirmed.body)["version"]


async def run_requests(fleet: LocalFleet) -> None:
    """Send one request of each kind and print the responses."""
    chats = f"{fleet.url}/v1/chat/completions"
    print("streamed chat:")
    streamed = await post(chats, make_chat("Is a van eligible?", stream=True), key=CALLER_KEY)
    print(streamed.body.decode().strip())
    print("plain chat:")
    plain = await post(chats, make_chat("Draft a note.", stream=False), key=CALLER_KEY)
    print(plain.body.decode())
    print("non-idempotent call, twice with one key:")
    headers = {"Idempotency-Key": uuid.uuid4().hex}
    for _ in range(2):
        url = f"{fleet.url}/v1/services/ledger/approve"
        call = await post(url, b'{"dossier": 17}', key=CALLER_KEY, headers=headers)
        print(call.code, call.body.decode())
    print(f"runs at the service: {sum(fleet.services[0].log.runs.values())}")
    for response in (streamed, plain, call):
        response.rethrow()


async def _run(*, serve: bool) -> None:
    fleet = LocalFleet()
    await fleet.start()
    try:
        version = await apply_configuration(fleet.url, fleet.build_text())
        await fleet.wait_for_version(version)
        print(f"configuration {version} is in force")
        await run_requests(fleet)
        if serve:
            print(f"entry: {fleet.url}\ncaller key: {CALLER_KEY}\noperator: {OPERATOR_TOKEN}")
            await asyncio.Event().wait()
    finally:
        await fleet.close()


def run(*, serve: bool = False) -> None:
    """Run the demo.

    Args:
        serve: Keep running and print the address and keys to try with curl.
    """
    set_up_logs(level="warning", style="text")
    asyncio.run(_run(serve=serve))
