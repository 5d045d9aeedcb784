"""What a gateway knows, for operators and for what works beside the decisions: looked at, never changed."""

from __future__ import annotations

from typing import NamedTuple

from mothgap.interface import State
from mothgap.rules import Gateway


class Use(NamedTuple):
    """One gateway's part of what a zone's servers do: attempts that are out, and how many may be at once."""

    out: float
    bears: float


def believes(gateway: Gateway, customer: int) -> dict[str, float]:
    """What is known of a customer's use; nothing where it is not known here."""
    known = gateway._customers.get(customer)
    if known is None:
        return {}
    return {"debt": known.debt, "burst": known.burst, "window": known.window, "total": known.total,
            "own": known.own, "owed": known.owed, "guess": known.guess, "open": known.open}  # fmt: skip


def use(gateway: Gateway) -> dict[int, Use]:
    """By zone: what is out there, and what its servers have shown that they bear of this gateway.

    One that is set aside bears nothing, a cold one as little as the settings say.
    """
    found: dict[int, Use] = {}
    for server in gateway._servers.values():
        if server.line.state is not State.READY:
            continue
        bears = 0.0 if server.aside else server.limit.most
        if gateway._cold(server):
            bears *= gateway._s.safety.cold_from
        before = found.get(server.line.zone, Use(0.0, 0.0))
        found[server.line.zone] = Use(before.out + len(server.out), before.bears + bears)
    return found
