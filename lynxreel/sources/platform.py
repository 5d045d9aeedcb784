"""The list of boxes from the discovery service: the sockets of its watches, as `freshness` decides."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from typing import Any, cast

import h11

from lynxreel.log import log
from lynxreel.protocol.address import Address, read_address
from lynxreel.sources.freshness import Action, Close, End, Freshness, Open, WatchPolicy
from lynxreel.sources.objects import Objects
from mothgap.interface import ListKind, Member, Members, State
from mothgap.settings import Names

STATES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}
NO_ADDRESS: Address = ("", 0)
# Raised when reading unexpected JSON.
UNREADABLE = (ArithmeticError, AttributeError, KeyError, TypeError, ValueError)
OnChange = Callable[[Members, list[tuple[Member, Address]]], None]


def _read_entry(item: Any, names: Names) -> tuple[Member, Address]:
    weight = float(item.get("weight", 1.0))
    if not math.isfinite(weight):
        raise ValueError("weight")
    state = STATES[item["lifecycle"]]
    member = Member(
        server=str(item["instanceId"]),
        state=state,
        kind=names.kinds.get(item.get("machineType"), 0),
        zone=names.zones.get(item.get("zone"), 0),
        cell=int(item.get("cell", 0)),
        started_at=int(item.get("startedAtMs", 0)) * 1_000,
        weight=weight,
    )
    # A box that is gone gets no requests, so an invalid address must not hide that it is gone.
    return member, NO_ADDRESS if state is State.GONE else read_address(item["hostPort"])


def read_list(
    data: Any, names: Names, kind: ListKind | None = None
) -> tuple[Members, list[tuple[Member, Address]]]:
    """Read a list in discovery's format; return the event for the decision module, and each box's address.

    An entry that can't be read is left out: otherwise it would block all others, at each retry again.
    """
    entries = []
    for item in data["instances"]:
        try:
            entries.append(_read_entry(item, names))
        except UNREADABLE as error:
            log(f"discovery has an entry that can't be read: {error!r} in {str(item)[:200]}")
    if kind is None:
        kind = ListKind.FULL if data["reset"] else ListKind.CHANGES
    return Members(kind, int(data["generation"]), tuple(member for member, _ in entries)), entries


class _Watch(asyncio.Protocol):
    """A watch on one connection."""

    def __init__(self, discovery: Discovery, number: int) -> None:
        self._discovery, self.number = discovery, number
        self._http = h11.Connection(h11.CLIENT)
        self._objects = Objects()
        self.version = self.requested_from = discovery.version  # of the last line; and of the request
        self._transport: asyncio.Transport | None = None
        self._ended = False
        self._task = discovery.loop.create_task(self._connect(discovery.address))

    async def _connect(self, address: Address) -> None:
        try:
            await self._discovery.loop.create_connection(lambda: self, *address)
        except OSError as error:
            self._end(End.UNREACHABLE, str(error))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Request the changes after the known version."""
        self._transport = transport = cast(asyncio.Transport, transport)
        if self._ended:
            transport.abort()
            return
        self.version = self.requested_from = self._discovery.resume_from
        target = f"/v1/servers?watch=1&from={self.version}"
        host = ":".join(map(str, self._discovery.address))
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        transport.write((self._http.send(request) or b"") + (self._http.send(h11.EndOfMessage()) or b""))

    def data_received(self, data: bytes) -> None:
        """Process JSON objects, and empty lines as heartbeats; anything else ends the watch."""
        try:
            self._http.receive_data(data)
            while not self._ended:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    break
                if isinstance(event, h11.Response) and event.status_code != 200:
                    self._end(End.REJECTED, f"status {event.status_code}")
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed) or event is h11.PAUSED:
                    self._end(End.LOST)
                elif isinstance(event, h11.Data):
                    self._discovery.freshness.bytes_received(self.number, self._discovery.loop.time())
                    for parsed in self._objects.feed(bytes(event.data)):
                        self._discovery.process_line(self, parsed)
        except (h11.RemoteProtocolError, RecursionError, *UNREADABLE) as error:
            self._end(End.INVALID, repr(error))

    def _end(self, how: End, why: str = "") -> None:
        if not self._ended:
            self.close()
            self._discovery.ended(self, how, why)

    def close(self) -> None:
        """Close the connection; nothing is reported any more."""
        self._ended = True
        self._task.cancel()
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """End the watch."""
        self._end(End.LOST, "" if error is None else str(error))


class Discovery:
    """The list of boxes, kept up to date by watches on discovery."""

    def __init__(
        self,
        address: Address,
        version: int,
        names: Names,
        on_change: OnChange,
        loop: asyncio.AbstractEventLoop,
        policy: WatchPolicy,
        rng: random.Random,
    ) -> None:
        self.loop = loop
        self.freshness = Freshness(policy, rng)
        self.version = version
        self._versions_restarted = False  # the service has restarted its version numbers
        self.ready = asyncio.Event()  # set once a list or changes have been received
        self.address, self._names, self._on_change = address, names, on_change
        self._watches: dict[int, _Watch] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._tick()

    def reconfigure(self, names: Names, policy: WatchPolicy) -> None:
        """Use new names of kinds and zones, and a new policy, from now on."""
        self._names = names
        self.freshness.set_policy(policy)
        self._tick()

    def set_address(self, address: Address) -> None:
        """Watch at another address, from the known version. Old watches stay until that one has a line."""
        if address == self.address:
            return
        self.address = address
        self.freshness.address_changed(self.loop.time())
        self._tick()

    @property
    def resume_from(self) -> int:
        """The version from which a new watch requests changes."""
        return 0 if self._versions_restarted else self.version

    def process_line(self, watch: _Watch, data: Any) -> None:
        """Process one line of a watch: a list, changes to it, or None for a heartbeat.

        A full list replaces what is known, unless it is older than what another watch has received since
        this one was opened: it would undo known changes, so it is requested again. Changes up to a known
        version are ignored, as another watch has received them. Where changes go back in version within one
        watch, the service has restarted its version numbers, and the list is requested from version 0.
        Raises one of `UNREADABLE` if the line is not a list, or has to be requested again.
        """
        if data is not None:
            members, entries = read_list(data, self._names)
            is_full = members.kind is ListKind.FULL
            if not is_full and members.version < watch.version:
                self._versions_restarted = True
                raise ValueError(f"version {members.version} after {watch.version}")
            if (
                is_full
                and not self._versions_restarted
                and watch.requested_from <= members.version < self.version
            ):
                raise ValueError(f"a full list of version {members.version} after {self.version}")
            if self._versions_restarted and watch.requested_from == 0:
                self._versions_restarted = False
                self.version = 0
            watch.version = members.version
            if is_full or members.version >= self.version:
                self.version = members.version
                if entries or is_full:
                    self._on_change(members, entries)
            self.ready.set()
        self._perform(self.freshness.line_received(watch.number, self.loop.time()))
        self._tick()

    def ended(self, watch: _Watch, how: End, why: str) -> None:
        """Process the end of a watch that this side did not close."""
        self._watches.pop(watch.number, None)
        self._perform(self.freshness.watch_ended(watch.number, how, self.loop.time(), why))
        self._tick()

    def _tick(self) -> None:
        """Do what is due, and set the timer for the next time."""
        self._perform(self.freshness.tick(self.loop.time()))
        if self._timer is not None:
            self._timer.cancel()
        due = self.freshness.due()
        self._timer = None if due is None else self.loop.call_at(due, self._tick)

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Open):
                self._watches[action.watch] = _Watch(self, action.watch)
            elif isinstance(action, Close):
                self._watches.pop(action.watch).close()
            else:
                log(action.text)

    def close(self) -> None:
        """Close all watches."""
        if self._timer is not None:
            self._timer.cancel()
        for watch in self._watches.values():
            watch.close()
