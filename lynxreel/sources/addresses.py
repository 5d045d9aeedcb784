"""Which server is at each address: one process listens there, whatever older entries of the list say.

A server that has gone may still be listed when another one is started at its address. What is sent to the old
one then arrives at the new one: beyond the budget of its cold start, and at another server than was chosen.
So only the server that came to an address last is used. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from lynxreel.protocol.address import Address
from mothgap.interface import ListKind, Member, Members, State

Line = tuple[Member, Address]


@dataclass(frozen=True, slots=True)
class _Entry:
    """A server that the list had as ready at its address. It may drain by now."""

    member: Member
    address: Address
    since: int  # number of the message by which it came to its address, or was restarted there

    def is_still(self, member: Member, address: Address) -> bool:
        """Whether a later line is about the same run of the server, at the same address."""
        same_run = member.started_at == self.member.started_at and address == self.address
        return same_run and member.state is not State.GONE

    @property
    def order(self) -> tuple[int, int]:
        """Of several at an address, the highest is there."""
        return self.since, self.member.started_at


class AddressOwners:
    """The servers of the list, and those of them that others have taken the address of."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._at: dict[Address, set[str]] = {}
        self._displaced: set[str] = set()
        self._messages = 0

    def resolve(self, members: Members, lines: list[Line]) -> tuple[Members, list[Line]]:
        """Return a message of the list in which servers whose address others have taken are gone."""
        touched = self._apply(members.kind, lines)
        before = set(self._displaced)
        for address in touched:
            self._decide(address)
        if not (before or self._displaced):
            return members, lines
        resolved = self._rewrite(lines, members.kind is ListKind.CHANGES, before)
        return replace(members, members=tuple(member for member, _ in resolved)), resolved

    @property
    def displaced(self) -> dict[str, str]:
        """The servers that are not used, and which one is at the address of each."""
        return {server: self._owner(self._entries[server].address) for server in self._displaced}

    def _owner(self, address: Address) -> str:
        return max(self._at[address], key=lambda server: self._entries[server].order)

    def _apply(self, kind: ListKind, lines: Iterable[Line]) -> set[Address]:
        """Take in a message; returns the addresses at which something has changed."""
        self._messages += 1
        touched, listed = set[Address](), set[str]()
        for member, address in lines:
            listed.add(member.server)
            known = self._entries.get(member.server)
            if known is not None and known.is_still(member, address):
                self._entries[member.server] = replace(known, member=member)
                continue
            touched |= self._remove(member.server)
            if member.state is State.READY:
                self._entries[member.server] = _Entry(member, address, self._messages)
                self._at.setdefault(address, set()).add(member.server)
                touched.add(address)
        if kind is not ListKind.CHANGES:
            for server in self._entries.keys() - listed:
                touched |= self._remove(server)
        return touched

    def _remove(self, server: str) -> set[Address]:
        entry = self._entries.pop(server, None)
        self._displaced.discard(server)
        if entry is None:
            return set()
        self._at[entry.address].discard(server)
        if not self._at[entry.address]:
            del self._at[entry.address]
        return {entry.address}

    def _decide(self, address: Address) -> None:
        """Find out which servers of an address are displaced: none if the list does not tell them apart."""
        servers = self._at.get(address, set())
        last = max((self._entries[server].order for server in servers), default=(0, 0))
        displaced = {server for server in servers if self._entries[server].order < last}
        self._displaced = (self._displaced - servers) | displaced

    def _rewrite(self, lines: list[Line], changes: bool, before: set[str]) -> list[Line]:
        listed = {member.server for member, _ in lines}
        if not changes:
            return [line for line in lines if line[0].server not in self._displaced]
        resolved = [
            (replace(member, state=State.GONE), address)
            if member.server in self._displaced
            else (member, address)
            for member, address in lines
        ]
        for server in sorted(self._displaced - before - listed):
            entry = self._entries[server]
            resolved.append((replace(entry.member, state=State.GONE), entry.address))
        for server in sorted(before - self._displaced - listed):
            if (restored := self._entries.get(server)) is not None:
                resolved.append((restored.member, restored.address))
        return resolved
