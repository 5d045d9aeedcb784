"""JSON lines over a socket, one command and one answer per line: controls stand-ins and queries instances."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable
from typing import Any

from lynxreel.protocol.address import Address

Commands = dict[str, Callable[[dict[str, Any]], Any]]
TIMEOUT = 30.0  # seconds to connect, and for each wait for data
MAX_LINE = 64 * 1024 * 1024  # bytes; the ledger of a long run is one line


async def listen(commands: Commands, place: Address | str) -> tuple[asyncio.Server, Address]:
    """Listen for commands `{"do": NAME, ...}`; answer `{"ok": RESULT}`, or `{"error": ...}` if one raises.

    `place` is an address, whose port may be 0, or the path of a Unix socket. Returns the server and the bound
    address (`("", 0)` for a path).
    """

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                writer.write(json.dumps(_run(commands, line)).encode() + b"\n")
                await writer.drain()
        except (OSError, ValueError):
            pass  # the client disconnected, or its line is longer than MAX_LINE
        finally:
            writer.close()

    if isinstance(place, str):
        return await asyncio.start_unix_server(answer, place, limit=MAX_LINE), ("", 0)
    server = await asyncio.start_server(answer, *place, limit=MAX_LINE)
    return server, server.sockets[0].getsockname()[:2]


def _run(commands: Commands, line: bytes) -> dict[str, Any]:
    try:
        command = json.loads(line)
        if not isinstance(command, dict) or command.get("do") not in commands:
            return {"error": f"no such command; there are {', '.join(sorted(commands))}"}
        return {"ok": commands[command["do"]](command)}
    except (ValueError, KeyError, TypeError) as error:
        return {"error": repr(error)}


def ask(place: Address | str, do: str, **given: Any) -> Any:
    """Run command `do` at `place` and return its result. Raises ValueError with its error, or OSError."""
    if isinstance(place, str):
        control = socket.socket(socket.AF_UNIX)
        control.settimeout(TIMEOUT)
        control.connect(place)
    else:
        control = socket.create_connection(place, TIMEOUT)
    with control:
        control.sendall(json.dumps({"do": do, **given}).encode() + b"\n")
        with control.makefile("rb") as lines:
            answer = json.loads(lines.readline())
    if "error" in answer:
        raise ValueError(answer["error"])
    return answer["ok"]
