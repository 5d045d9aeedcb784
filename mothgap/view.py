"""Read-only views of a gateway's state, for operators and for the modules around the decision module."""

from __future__ import annotations

from typing import NamedTuple

from mothgap.interface import State
from mothgap.rules import Gateway


class ZoneLoad(NamedTuple):
    """One gateway's load on a zone's servers: attempts in flight, and how many there may be at once."""

    in_flight: float
    max_in_flight: float


def customer_state(gateway: Gateway, customer: int) -> dict[str, float]:
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


def customer_count(gateway: Gateway) -> int:
    """Number of customers whose state is kept."""
    return len(gateway._customers)


def zone_loads(gateway: Gateway) -> dict[int, ZoneLoad]:
    """By zone: attempts in flight, and the sum of the limits of this gateway's attempts at its servers.

    An ejected server counts with a limit of zero, a cold one with a part of its limit (`Safety.cold_from`).
    """
    zones: dict[int, ZoneLoad] = {}
    for server in gateway._servers.values():
        if server.member.state is not State.READY:
            continue
        limit = 0.0 if server.ejected else server.limit.max_in_flight
        if gateway._is_cold(server):
            limit *= gateway._settings.safety.cold_from
        so_far = zones.get(server.member.zone, ZoneLoad(0.0, 0.0))
        zones[server.member.zone] = ZoneLoad(
            so_far.in_flight + len(server.in_flight), so_far.max_in_flight + limit
        )
    return zones
