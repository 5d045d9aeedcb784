"""The core of takeovers under all orders: worlds walked on all cores, and what broke a rule."""

from __future__ import annotations

import multiprocessing
import os
import time

from lynxreel.standins.interleavings import LEASE, Budget, Found, frozen, shards, walk, world

MOST = 300_000  # worlds a round and row
ROWS = (
    ("dead are followed", Budget(lost=1, doubled=1, deaths=2, restarts=1), 0),
    ("a word for silence", Budget(deaths=1, stops=1, ticks=12), LEASE),
    ("the same, and messages", Budget(lost=1, doubled=1, deaths=1, stops=1, ticks=8), LEASE),
)


def _part(given: tuple[bytes, int]) -> tuple[set[bytes], Found]:
    seen: set[bytes] = set()
    found = walk(given[0], given[1], seen)
    return seen, found


def measure(rounds: int) -> None:
    """`rounds` times MOST worlds a row."""
    most, cores = MOST * rounds, os.cpu_count() or 1
    print(f"{'row':26}{'worlds':>12}{'steps':>12}{'seconds':>9}  broken")
    for name, budget, lease in ROWS:
        began, seen, taken, wrong = time.monotonic(), set[bytes](), 0, ""
        parts = shards(frozen(world(budget, lease)), 4 * cores)
        with multiprocessing.Pool(cores) as pool:
            for some, found in pool.imap_unordered(_part, [(part, most // len(parts)) for part in parts]):
                seen |= some
                taken += found.steps
                wrong = wrong or (f"{found.why}: {found.trace}" if found.why else "")
        print(f"{name:26}{len(seen):>12,}{taken:>12,}{time.monotonic() - began:>9.0f}  {wrong or 'nothing'}")
