"""Settings of takeovers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from mothgap.interface import Effect


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """What takeovers need to know of a class of requests."""

    effect: Effect
    key_memory: int = 0  # microseconds for which boxes drop repeats under a key


@dataclass(frozen=True, slots=True)
class TakeoverSettings:
    """Settings of one instance. Times are microseconds."""

    name: str
    classes: Mapping[str, ClassSettings]
    max_replicas: int = 20_000  # replicas kept
    max_replica_bytes: int = 32 << 20  # bytes of replicas kept
    ack_timeout: int = 20_000  # for which an attempt waits for its intent to be acknowledged
    peer_timeout: int = 200_000  # for which a peer's response is awaited: a live process may stall for 0.15 s
    retention: int = 15_000_000  # for which answers are kept after a request's deadline
    # `once` waits for the acknowledgement of its intent; otherwise its replica counts as sent from the start.
    wait_for_ack: bool = True
    lease: int = 0  # for which a keeper allows an owner to act; 0: only dead owners are taken over
    max_drift: float = 0.01  # largest relative drift between two clocks
    parallel_attempts: bool = False  # two attempts of a request may run at the same time
    incarnation: int = 1
