"""How a customer's counts are named on the counter that all gateways share."""

from __future__ import annotations

from mothgap.interface import Plan

SECOND = 1_000_000  # microseconds
NAME_LIFE = 60 * SECOND  # microseconds; the longest that the counter keeps a name


def window(customer: int, plan: Plan, now: int) -> tuple[int, int]:
    """A customer's window number and its length; edges of different customers fall apart."""
    length = max(SECOND, min(NAME_LIFE // 2, int(plan.burst / plan.rate * SECOND)))
    return (now + customer * 7919 % length) // length, length


def count_name(customer: int, number: int) -> int:
    """The name of a customer's count in a window, on the counter service."""
    return (customer << 24 | number & 0xFFFFFF) & 0xFFFFFFFFFFFFFFFF
