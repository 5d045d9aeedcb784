"""The operator files of a local deployment: classes and plans as in docs/running-a-fleet.md."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from lynxreel.protocol.address import Address
from lynxreel.standins.ledger import Quota
from lynxreel.standins.traffic import Class
from lynxreel.standins.world import AIMS, CLASSES, CORES, KEY_MEMORY, LOAD, WORK, WORTH


def boxes_for(rate: float, classes: Sequence[Class] = CLASSES) -> int:
    """Boxes that so many first tries a second keep busy to LOAD."""
    work = sum(cls.share * WORK[cls.name] for cls in classes) / sum(cls.share for cls in classes)
    return max(4, -int(-rate * work // (CORES * LOAD)))


def takeover_tables(
    number: int,
    links: Sequence[Address],
    zones: int,
    seen: Sequence[Address] | None = None,
    kept: bool = True,
) -> str:
    """The tables of an instance that hears the others and, if `kept`, whose work in hand is kept by them.

    `links`: where each listens; `seen`: where this one speaks to each, if that differs.
    """
    peers = "".join(
        f'\n[[links.peers]]\nname = "g{n}"\naddress = "{host}:{port}"\nzone = "z{n % zones}"\n'
        for n, (host, port) in enumerate(seen or links)
    )
    host, port = links[number]
    last = "\n[takeover]\n" if kept else ""
    return f'\n[links]\nlisten = "{host}:{port}"\nzone = "z{number % zones}"\n{peers}{last}'


def operator_file(
    folder: Path,
    number: int,
    gateways: int,
    listen: str,
    discovery: str,
    counter: str,
    plans: dict[str, Quota],
    workers: int = 0,
    classes: Sequence[Class] = CLASSES,
) -> str:
    """The text of one instance's file."""
    parts = [
        f"""\
[gateway]
name = "g{number}"
number = {number}
gateways = {gateways}
workers = {workers}
listen = ["{listen}"]

[state]
folder = "{folder / f"g{number}"}"

[limits]
sockets = 1024
largest_units = 4.0

[boxes]
discovery = "{discovery}"

[counter]
address = "{counter}"

[records]
file = "{folder / f"g{number}" / "records.jsonl"}"
most_mb = 4.0
"""
    ]
    for cls in classes:
        effect = "by_key" if cls.keyed else "once" if cls.unsafe else "repeatable"
        memory = f"key_memory_ms = {int(KEY_MEMORY * 1e3)}\n" if cls.keyed else ""
        parts.append(f"""
[[classes]]
name = "{cls.name}"
effect = "{effect}"
aim_ms = {AIMS[cls.name]}
deadline_ms = {int(cls.deadline * 1e3)}
worth = {WORTH[cls.name]}
{memory}""")
    for name, quota in plans.items():
        text = f'\n[[plans]]\nname = "{name}"\nrate = {quota.rate}\nburst = {quota.burst}\n'
        if quota.ceiling_rate > 0:
            text += f"ceiling_rate = {quota.ceiling_rate}\nceiling_burst = {quota.ceiling_burst}\n"
        parts.append(text)
    return "".join(parts)
