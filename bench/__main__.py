"""`python -m bench [NAME ...]`: run some measurements, or all."""

from __future__ import annotations

import argparse
import importlib
import sys

NAMES = (
    "cost",
    "decisions",
    "start",
    "drain",
    "fleet",
    "seeds",
    "counter_faults",
    "counter_clients",
    "counter_cost",
    "etcd",
    "routes",
    "http_cost",
    "http_mixed",
    "http_fuzz",
    "http_schema",
    "workers",
    "handover",
    "days",
    "choice",
    "fleet_change",
    "lending",
    "large_values",
    "deferred_values",
    "operations",
    "upgrades",
    "quota_bound",
    "planning_family",
    "takeover_orders",
    "takeover",
    "list_size",
    "slow_discovery",
    "shared_clock",
    "zones",
)


def main() -> int:
    """Each prints its own table."""
    parser = argparse.ArgumentParser(prog="python -m bench")
    parser.add_argument("names", nargs="*", metavar="NAME", help=f"of {', '.join(NAMES)}; all by default")
    parser.add_argument("--rounds", type=int, default=5)
    args = parser.parse_args()
    for words in args.names or NAMES:
        name, _, part = words.partition(":")  # a part of a table, where a measurement has parts
        if name not in NAMES:
            parser.error(f"no measurement {name!r}; there are {', '.join(NAMES)}")
        importlib.import_module(f"bench.{name}").measure(args.rounds, *filter(None, [part]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
