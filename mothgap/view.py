"""Read-only views of a gateway's state, for operators and for the modules around the decision module."""

from __future__ import annotations

from typing import NamedTuple

from mothgap.interface import State
from mothgap.rules import Gateway


class Use(NamedTuple):
    """One gateway's load on a zone's servers: attempts in flight, and how many there may be at once."""

    out: float
    bears: float


def believes(gateway: Gateway, customer: int) -> dict[str, float]:
    """What the gateway knows of a customer's use of its quota; empty for a customer it doesn't know."""
    state = gateway._customers.get(customer)
    if state is None:
        return {}
    return {
        "debt": state.debt,
        "burst": state.burst,
        "window": state.count_name,
        "total": state.total,
        "own": state.own_total,
        "owed": state.pending,
        "guess": state.estimated_other_units,
        "open": state.open_requests,
    }


def use(gateway: Gateway) -> dict[int, Use]:
    """By zone: attempts in flight, and the sum of the limits of this gateway's attempts at its servers.

    An ejected server counts with a limit of zero, a cold one with a part of its limit (`Safety.cold_from`).
    """
    zones: dict[int, Use] = {}
    for server in gateway._servers.values():
        if server.member.state is not State.READY:
            continue
        limit = 0.0 if server.ejected else server.limit.max_in_flight
        if gateway._is_cold(server):
            limit *= gateway._settings.safety.cold_from
        so_far = zones.get(server.member.zone, Use(0.0, 0.0))
        zones[server.member.zone] = Use(so_far.out + len(server.in_flight), so_far.bears + limit)
    return zones
