"""Stand-ins of the store, the platform's calls, engines and clients, and instances as processes.

They follow PROTOCOL.md and DEPLOY.md. Each instance has a port of its own at the store, so that it
can be cut off from it while the others are served.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from http_server import Request, encode_response, read_request, serve

ROOT = Path(__file__).resolve().parents[2]
HOST = "portal.example"
ANSWER_S = 0.004
TRANSACTION_S = 0.005
BOUNDS: dict[str, Any] = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "partition_stretch_ms": 5000,
    "strict_revocation": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 108,
    "recovery_s": 12,
    "pass_ms": 120,
    "reuse_window_s": 10,
    "ttl_max_s": 5,
}


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path: Path) -> None:
        self._began = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Store:
    """The platform's store."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.version = 0
        self.ports: dict[str, int] = {}
        self.cut_until: dict[str, float] = {}
        self.on_commit: list[Any] = []
        self._servers: list[asyncio.Server] = []

    async def open_port(self, machine: str) -> int:
        async def handle(
            request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> bool:
            return await self._handle(machine, request, writer)

        server, port = await serve(handle)
        self._servers.append(server)
        self.ports[machine] = port
        return port

    def put(self, table: str, key: str, fields: Any) -> int:
        self.version += 1
        value = base64.b64encode(json.dumps(fields).encode()).decode()
        self.rows[table, "", key] = (value, self.version)
        return self.version

    def drop(self, table: str, key: str) -> None:
        self.version += 1
        self.rows.pop((table, "", key), None)

    def cut(self, machine: str, for_s: float) -> None:
        """Partition a machine from the store: what it sends is lost, and nothing answers."""
        self.cut_until[machine] = time.monotonic() + for_s
        self.record.write(f"cut of {machine} from the store for {for_s} s")

    def is_cut(self, machine: str) -> bool:
        return time.monotonic() < self.cut_until.get(machine, 0.0)

    async def _handle(self, machine: str, request: Request, writer: asyncio.StreamWriter) -> bool:
        if self.is_cut(machine):
            await asyncio.sleep(30.0)  # The connection stays silent for good.
            return False
        await asyncio.sleep(TRANSACTION_S if request.method == "POST" else ANSWER_S)
        if self.is_cut(machine):
            await asyncio.sleep(30.0)
            return False
        committed = None
        if request.path == "/v1/rows-get":
            status, fields = 200, self._get(request.query)
        elif request.path == "/v1/rows-tx":
            transaction = json.loads(request.body)
            status, fields = self._transact(transaction)
            committed = transaction if status == 200 else None
        else:
            status, fields = 404, {}
        fields |= {"ver": self.version, "now_ms": int(time.monotonic() * 1000)}
        body = json.dumps(fields).encode()
        writer.write(encode_response(status, [("Content-Type", "application/json")], body))
        await writer.drain()
        if committed is not None:
            for callback in self.on_commit:
                callback(machine, committed)
        return True

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("target")
        limit = min(500, int(query.get("limit", "500")))
        keys = sorted(
            key
            for name, one, key in self.rows
            if name == table and one == part and key >= first and (last is None or key < last)
        )
        rows = [
            {"table": table, "part": part, "key": key, "value": value, "ver": version}
            for key in keys[:limit]
            for value, version in [self.rows[table, part, key]]
        ]
        return {"rows": rows, "more_pages": len(keys) > limit}

    def _transact(self, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        def find(row: dict[str, Any]) -> tuple[str, str, str]:
            return row["table"], row.get("part", ""), row["key"]

        current = []
        for row in fields.get("expect", ()):
            value, version = self.rows.get(find(row), ("", 0))
            if version != row["ver"]:
                current.append(
                    {
                        "table": row["table"],
                        "part": "",
                        "key": row["key"],
                        "ver": version,
                        "value": value,
                    }
                )
        if current:
            return 412, {"rows": current}
        changed = [*fields.get("writes", ()), *fields.get("remove", ())]
        if any(row["table"] in ("op", "servers") for row in changed):
            return 403, {}
        self.version += 1
        for row in fields.get("writes", ()):
            self.rows[find(row)] = (row["value"], self.version)
        for row in fields.get("remove", ()):
            self.rows.pop(find(row), None)
        return 200, {}

    def close(self) -> None:
        for server in self._servers:
            server.close()


class Provider:
    """The platform's calls of singleton duties; it checks fencing tokens."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = 0
        self.accepted: list[tuple[str, int, int, dict[str, int]]] = []
        """Holder, fencing token, window and counts of each usage report that was accepted."""
        self._highest: dict[str, int] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server, self.port = await serve(self._handle)

    async def _handle(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        fields = json.loads(request.body)
        token = int(request.headers["x-fencing-token"])
        holder = request.headers["x-duty-holder"]
        subject = "usage" if request.path == "/usage" else f"{fields['service']} {fields['zone']}"
        status = 409 if token < self._highest.get(subject, 0) else 200
        self._highest[subject] = max(token, self._highest.get(subject, 0))
        if status == 200 and request.path == "/usage":
            self.accepted.append((holder, token, fields["window_id"], fields["counts"]))
        self.record.write(
            f"platform: {request.path} by {holder}, token {token}: {json.dumps(fields)} -> {status}"
        )
        writer.write(encode_response(status, [], b""))
        await writer.drain()
        return True

    def close(self) -> None:
        if self._server is not None:
            self._server.close()


class Engine:
    """An engine of a plain service; each request takes a moment."""

    def __init__(self, name: str, record: Record, *, work_s: float = 0.02) -> None:
        self.name = name
        self.record = record
        self.work_s = work_s
        self.port = 0
        self.runs: list[tuple[float, str, str]] = []
        """Time, id and tenant of each request that ran."""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server, self.port = await serve(self._handle)

    async def _handle(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        request_id = request.headers.get("x-attempt-id", "")
        echo = [("X-Attempt-Id", request_id), ("Keep-Alive", "timeout=10")]
        if request.headers.get("x-expect-instance", self.name) != self.name:
            writer.write(encode_response(421, [*echo, ("X-Not-Executed", "1")], b""))
            return True
        tenant = request.headers.get("x-tenant", "")
        self.runs.append((time.time(), request_id, tenant))
        self.record.write(f"engine {self.name} ran {request_id} for {tenant}")
        await asyncio.sleep(self.work_s)
        seal = ("X-Engine-Seal", f"seal.{self.name}.{request_id}")
        writer.write(encode_response(200, [*echo, seal], b"answer " + request_id.encode()))
        await writer.drain()
        return True

    def close(self) -> None:
        if self._server is not None:
            self._server.close()


class Instance:
    """One process of the deployed program."""

    def __init__(self, name: str, settings: dict[str, Any], folder: str, record: Record) -> None:
        self.name = name
        self.settings = settings
        self.front = settings["listen"]["front"]
        self.record = record
        self.process: subprocess.Popen[bytes] | None = None
        self.log = Path(folder) / f"{name}.log"
        self._path = Path(folder) / f"{name}.json"
        self._path.write_text(json.dumps(settings), encoding="utf-8")

    def start(self) -> None:
        """Start it with the command of the deploy file, at the root of the repository."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        command = deploy["roles"]["node"]["run"].split(" ")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = kept | {
            "GUAVAMAST_SETTINGS": str(self._path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.process = subprocess.Popen(  # noqa: S603
            command,
            cwd=ROOT,
            env=environment,
            stdout=self.log.open("ab"),
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )
        self.record.write(f"started {self.name}, process {self.process.pid}")

    async def wait_ready(self, timeout_s: float = 20.0) -> bool:
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if await self.read_status() == 200:
                return True
            if self.process is not None and self.process.poll() is not None:
                return False
            await asyncio.sleep(0.1)
        return False

    async def read_status(self) -> int:
        host, _, port = self.settings["listen"]["readiness"].rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return int(line.split()[1])
        except (OSError, TimeoutError, IndexError):
            return 0

    def send_signal(self, number: int) -> None:
        assert self.process is not None
        self.record.write(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def stop(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Site:
    """The stand-ins of one small deployment and its instances."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store(record)
        self.provider: Provider | None = None
        self.bounds = dict(BOUNDS)
        self.engines: list[Engine] = []
        self.instances: list[Instance] = []
        self._folder = tempfile.TemporaryDirectory()
        self._reserved: list[socket.socket] = []
        self._version = 0

    def register(self, engine: Any, service: str, **fields: Any) -> None:
        row = {
            "service": service,
            "address": f"127.0.0.1:{engine.port}",
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
        }
        self.store.put("servers", engine.name, row | fields)

    def publish(
        self,
        routes: list[dict[str, Any]],
        services: list[dict[str, Any]],
        tenants: list[dict[str, Any]],
        limits: dict[str, Any] | None = None,
    ) -> int:
        """Write a configuration as the operator does."""
        self._version += 3
        fields = {
            "version": self._version,
            "routes": routes,
            "services": services,
            "limits": limits
            or {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": tenants,
        }
        self.record.write(f"operator: configuration {self._version}")
        return self.store.put("op", "config", fields)

    async def add_instance(
        self, name: str, *, zone: str = "a", cpu_share: float = 0.731, memory_mb: int = 222
    ) -> Instance:
        store_port = await self.store.open_port(name)
        ports = [self._reserve() for _ in range(4)]
        first = self._reserve_pair()
        settings: dict[str, Any] = {
            "node_name": name,
            "role": "node",
            "machine_class": "front",
            "serves": ["front", "directory"],
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "r",
            "zones": {"a": "r", "b": "r"},
            "listen": {
                "front": f"127.0.0.1:{ports[0]}",
                "readiness": f"127.0.0.1:{ports[1]}",
                "control": f"127.0.0.1:{ports[2]}",
                "directory": f"127.0.0.1:{ports[3]}",
            },
            "internal_ports": [first, first + 1],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpu_share": cpu_share,
                "cores": 1,
                "memory_mb": memory_mb,
                "max_fds": 1535,
                "link_mbps": 350.0,
                "disk_mb": 0,
            },
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine"]
            + ["stream", "tenants", "platform"],
            "bounds": dict(self.bounds),
            "platform": {
                "address": f"127.0.0.1:{store_port}",
                "form": "table",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "transaction_ms": 5.0,
                "partition_writes_s": 200,
                "row_bytes": 65536,
                "across": False,
                "history_s": 20,
            },
        }
        if self.provider is not None:
            settings["cloud"] = {
                "address": f"127.0.0.1:{self.provider.port}",
                "rate_per_s": 50.0,
                "duties": ["usage_report"],
                "duty_per_s": 50.0,
            }
        instance = Instance(name, settings, self._folder.name, self.record)
        self.instances.append(instance)
        return instance

    def _reserve(self, port: int = 0) -> int:
        """Return a port that stays bound without a listener, so that nothing else takes it."""
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(("127.0.0.1", port))
        self._reserved.append(reserved)
        return int(reserved.getsockname()[1])

    def _reserve_pair(self) -> int:
        while True:
            first = self._reserve()
            try:
                self._reserve(first + 1)
            except (OSError, OverflowError):
                continue
            return first

    def keep_logs(self, folder: Path) -> None:
        """Copy the instances' logs to a folder."""
        for instance in self.instances:
            if instance.log.exists():
                (folder / instance.log.name).write_bytes(instance.log.read_bytes())

    def stop(self) -> None:
        for instance in self.instances:
            instance.stop()
        self.store.close()
        for engine in self.engines:
            engine.close()
        if self.provider is not None:
            self.provider.close()
        for reserved in self._reserved:
            reserved.close()
        self._folder.cleanup()


class Reply:
    """What a client got: status 0 if the connection ended without a status."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, whole: bool) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole


async def ask(
    address: str,
    target: str,
    *,
    request_id: str,
    key: str,
    body: bytes = b"",
    deadline_ms: int = 4000,
    headers: tuple[tuple[str, str], ...] = (),
) -> Reply:
    """Send one request on a new connection and read its whole answer."""
    host, _, port = address.rpartition(":")
    lines = [
        f"{'POST' if body else 'GET'} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {request_id}",
        f"X-Request-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {key}",
        *(f"{name}: {value}" for name, value in headers),
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    writer = None
    status, fields, received = 0, {}, b""
    try:
        async with asyncio.timeout(deadline_ms / 1000.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            status = int(head[0].split(" ")[1])
            pairs = [line.split(":", 1) for line in head[1:] if line]
            fields = {name.strip().lower(): value.strip() for name, value in pairs}
            if fields.get("transfer-encoding", "").lower() == "chunked":
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    received += (await reader.readexactly(size + 2))[:-2]
            else:
                received = await reader.readexactly(int(fields.get("content-length", "0")))
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Reply(status, fields, received, False)
    finally:
        if writer is not None:
            writer.close()
    return Reply(status, fields, received, True)


def run(case: Any, folder: Path) -> int:
    """Run a case's coroutine function; return its exit code, 2 if it couldn't run."""
    if not (ROOT / "target" / "deps" / "guavamast").is_dir():
        print("not built: run sh deploy/build.sh", file=sys.stderr)
        return 2
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        site = Site(record)
        try:
            async with asyncio.timeout(115.0):
                return await case(site, record, trouble)
        except Exception as error:  # noqa: BLE001
            record.write(f"couldn't run: {type(error).__name__}: {error}")
            return 2
        finally:
            if os.environ.get("KEEP_LOGS"):
                site.keep_logs(Path(os.environ["KEEP_LOGS"]))
            site.stop()

    code = asyncio.run(main())
    print(f"exit {code}")
    return code


__all__ = [
    "HOST",
    "ROOT",
    "Engine",
    "Instance",
    "Provider",
    "Record",
    "Reply",
    "Request",
    "Site",
    "Store",
    "ask",
    "encode_response",
    "read_request",
    "run",
    "serve",
]
