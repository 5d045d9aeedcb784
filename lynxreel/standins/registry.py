"""A stand-in for the platform's discovery: the list of boxes over HTTP, and a watch on it.

Faults beside those of a script: open watches fall silent or are reset, and it is away for a while, in which
it takes calls and says nothing. What it was asked then is never answered.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

import h11

from lynxreel.standins.base import Clock, Link, Listener
from lynxreel.standins.faults import Faults, Kind

BEAT = 2.0  # seconds between empty lines while nothing changes
Entry = dict[str, Any]


def entry(number: str, address: tuple[str, int], lifecycle: str = "SERVING", started: int = 0) -> Entry:
    """A box as the list has it; `started` in Unix milliseconds."""
    return {
        "instanceId": number, "hostPort": f"{address[0]}:{address[1]}", "zone": "a", "machineType": "m",
        "cell": 0, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": started,
    }  # fmt: skip


class Registry:
    """The list and those who watch it."""

    def __init__(self, faults: Faults, clock: Clock) -> None:
        self.generation = 1
        self.boxes: dict[str, Entry] = {}
        self._log: list[tuple[int, list[Entry]]] = []  # what changed with each generation
        self.watchers: set[_RegistryLink] = set()
        self.away = False
        self.indent: int | None = None  # of what it tells; None: an object is a line
        self.faults, self.clock = faults, clock
        self.listener = Listener("discovery", faults, clock, lambda listener: _RegistryLink(listener, self))

    def put(self, *entries: Entry) -> None:
        """Change some boxes at one stroke, and tell all watchers."""
        self.generation += 1
        for box in entries:
            if box["lifecycle"] == "DELETED":
                self.boxes.pop(box["instanceId"], None)
            else:
                self.boxes[box["instanceId"]] = box
        self._log.append((self.generation, list(entries)))
        if not self.away:
            for watcher in list(self.watchers):
                watcher.catch_up()

    def hush(self) -> None:
        """All watches that are open fall silent for good, and stay open."""
        for watcher in list(self.watchers):
            watcher.hush()

    def cut(self) -> None:
        """All watches that are open are reset."""
        for watcher in list(self.watchers):
            watcher.reset()

    def come_back(self) -> None:
        """It is not away any more: open watches are told what they have missed."""
        self.away = False
        for watcher in list(self.watchers):
            watcher.catch_up()

    def set(self, number: str, lifecycle: str) -> None:
        """Change one box's lifecycle."""
        self.put({**self.boxes[number], "lifecycle": lifecycle})

    def _message(self, reset: bool, entries: list[Entry]) -> bytes:
        told = {"generation": self.generation, "reset": reset, "instances": entries}
        return json.dumps(told, indent=self.indent).encode() + b"\n"

    def whole(self) -> bytes:
        """The whole list."""
        return self._message(True, list(self.boxes.values()))

    def since(self, generation: int) -> bytes:
        """What changed after a generation; the whole list where that is not known."""
        if generation < 1 or generation > self.generation:
            return self.whole()
        later = [boxes for number, boxes in self._log if number > generation]
        changed = {box["instanceId"]: box for boxes in later for box in boxes}
        return self._message(False, list(changed.values()))


class _RegistryLink(Link):
    """One connection: a list, or a watch until it ends."""

    def __init__(self, listener: Listener, registry: Registry) -> None:
        super().__init__(listener)
        self._registry = registry
        self._http = h11.Connection(h11.SERVER)
        self._beat: asyncio.TimerHandle | None = None
        self._told = 0  # the generation up to which its watch has been told

    def data_received(self, data: bytes) -> None:
        """One request."""
        try:
            self._http.receive_data(data)
            event = self._http.next_event()
        except h11.RemoteProtocolError:
            self.transport.close()
            return
        if isinstance(event, h11.Request):
            self._take(event)

    def _take(self, request: h11.Request) -> None:
        registry = self._registry
        fault = registry.faults.pick("discovery", registry.clock.now())
        kind = fault.kind if fault is not None else None
        target = urlsplit(request.target.decode("latin-1"))
        asked = parse_qs(target.query)
        if kind is Kind.SILENT or registry.away:
            return
        if kind is Kind.RESET:
            self.reset()
        elif kind is Kind.SPOILT:
            self.write(b'HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{"gener')
        elif kind is Kind.REFUSE or target.path != "/v1/servers":
            status = 404 if kind is None else 503
            self._send(h11.Response(status_code=status, headers=[("Content-Length", "0")]))
            self.transport.close()
        else:
            asyncio.get_running_loop().call_later(fault.delay if fault is not None else 0, self._list, asked)

    def _list(self, asked: dict[str, list[str]]) -> None:
        if asked.get("watch") == ["1"]:
            self._send(h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")]))
            self._registry.watchers.add(self)
            given = asked.get("from", ["0"])[0]
            self._told = int(given) if given.isdigit() else 0
            self.catch_up()
            return
        body = self._registry.whole()
        self._send(h11.Response(status_code=200, headers=[("Content-Length", str(len(body)))]))
        self._send(h11.Data(data=body))
        self.transport.close()

    def catch_up(self) -> None:
        """Tell what it does not know yet."""
        self._tell(self._registry.since(self._told))
        self._told = self._registry.generation

    def hush(self) -> None:
        """Say nothing any more."""
        self._registry.watchers.discard(self)
        if self._beat is not None:
            self._beat.cancel()

    def _tell(self, line: bytes) -> None:
        """A line of the watch, or an empty one as a sign of life."""
        if not self._registry.away:
            self._send(h11.Data(data=line))
        if self._beat is not None:
            self._beat.cancel()
        self._beat = asyncio.get_running_loop().call_later(BEAT, self._tell, b"\n")

    def _send(self, event: h11.Event) -> None:
        if not self.transport.is_closing():
            self.write(self._http.send(event) or b"")

    def connection_lost(self, error: Exception | None) -> None:
        """The watcher has gone."""
        super().connection_lost(error)
        self.hush()
