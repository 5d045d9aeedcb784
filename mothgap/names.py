"""Names of a customer's counts on the counter service that all gateways share."""

from __future__ import annotations

from mothgap.interface import Plan

SECOND = 1_000_000  # microseconds
MAX_NAME_LIFETIME = 60 * SECOND  # microseconds; the longest lifetime of a name on the counter


def window(customer: int, plan: Plan, now: int) -> tuple[int, int]:
    """A customer's current window number and the window's length in microseconds.

    Windows of different customers begin at different times, which spreads the load on the counter.
    """
    length = max(SECOND, min(MAX_NAME_LIFETIME // 2, int(plan.burst / plan.rate * SECOND)))
    return (now + customer * 7919 % length) // length, length


def count_name(customer: int, window_number: int) -> int:
    """The name of a customer's count for one window on the counter service."""
    return (customer << 24 | window_number & 0xFFFFFF) & 0xFFFFFFFFFFFFFFFF
