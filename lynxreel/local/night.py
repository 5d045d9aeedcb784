"""What goes wrong on a played day, as a file has it; without I/O.

A JSON list. Each object has `at`, in seconds from the start of the load, and either

- `do`, with the `gateways` or `boxes` that it is done to and, where it passes by itself, its `span`; or
- `kind` of a fault, with the `place` that it strikes (boxes, counter, list, wires) and what else a stand-in's
  script may say of it: `span`, `share`, `delay`, `target` (a box, or `g0>g1` for a wire).
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from lynxreel.standins.faults import BadScript, Fault, read_script

TO_GATEWAYS = ("kill", "restart", "drain", "reload", "stop")
FOR_A_WHILE = ("freeze", "list-away")  # SIGSTOP and SIGCONT; a list that takes calls and says nothing
TO_BOXES = ("leave", "gone", "serve")
TO_THE_LIST = ("list-silent", "list-reset", "list-away")
PLACES = ("boxes", "counter", "list", "wires")


@dataclass(frozen=True)
class Deed:
    """Something that is done at a moment, and undone after its span, in seconds."""

    at: float
    do: str
    gateways: tuple[int, ...] = ()
    boxes: tuple[str, ...] = ()
    span: float = math.inf


@dataclass(frozen=True)
class Night:
    """All of it: deeds in their order, and faults by place, with their times from the start of the load."""

    deeds: tuple[Deed, ...] = ()
    faults: tuple[tuple[str, Fault], ...] = ()


def read_night(data: Any, gateways: int, boxes: int, wires: bool) -> Night:
    """A file's content. Raises BadScript, which names the line and the field."""
    if not isinstance(data, list):
        raise BadScript("a night is a list of objects")
    deeds, faults = [], []
    for number, item in enumerate(data):
        where = f"line {number}"
        if not isinstance(item, dict) or ("do" in item) is ("kind" in item):
            raise BadScript(f"{where}: is no object with either `do` or `kind`")
        if "kind" in item:
            faults.append(_fault(where, dict(item), wires))
        else:
            deeds.append(_deed(where, item, gateways, boxes))
    return Night(tuple(sorted(deeds, key=lambda deed: deed.at)), tuple(faults))


def _fault(where: str, item: dict[str, Any], wires: bool) -> tuple[str, Fault]:
    place = item.pop("place", None)
    if place not in PLACES or (place == "wires" and not wires):
        known = ", ".join(PLACES if wires else PLACES[:-1])
        why = "wires go with --takeover and without --workers"
        raise BadScript(f"{where}: place: is {place!r}, not one of {known} ({why})")
    try:
        return place, read_script([item])[0]
    except BadScript as wrong:
        raise BadScript(str(wrong).replace("fault 0", where, 1)) from None


def _deed(where: str, item: dict[str, Any], gateways: int, boxes: int) -> Deed:
    do, at = item["do"], item.get("at")
    known = (*TO_GATEWAYS, *TO_BOXES, *TO_THE_LIST, "freeze")
    if do not in known:
        raise BadScript(f"{where}: do: is {do!r}, not one of {', '.join(known)}")
    if at is None or not _seconds(at):
        raise BadScript(f"{where}: at: is {at!r}, not seconds")
    span = item.get("span")
    if (do in FOR_A_WHILE) is not _seconds(span):
        raise BadScript(f"{where}: span: is {span!r}; {', '.join(FOR_A_WHILE)} have one, in seconds")
    numbers, names = item.get("gateways"), item.get("boxes")
    if do in (*TO_GATEWAYS, "freeze"):
        if not _chosen(numbers, range(gateways)):
            raise BadScript(f"{where}: gateways: is {numbers!r}, not numbers from 0 to {gateways - 1}")
    elif numbers is not None:
        raise BadScript(f"{where}: gateways: {do} is not done to gateways")
    if do in TO_BOXES:
        if not _chosen(names, [f"box-{n}" for n in range(boxes)]):
            raise BadScript(f"{where}: boxes: is {names!r}, not names from box-0 to box-{boxes - 1}")
    elif names is not None:
        raise BadScript(f"{where}: boxes: {do} is not done to boxes")
    odd = item.keys() - {"do", "at", "span", "gateways", "boxes"}
    if odd:
        raise BadScript(f"{where}: {min(odd)}: is unknown")
    return Deed(at, do, tuple(numbers or ()), tuple(names or ()), math.inf if span is None else span)


def _seconds(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < math.inf


def _chosen(value: Any, known: Any) -> bool:
    return isinstance(value, list) and bool(value) and all(one in known for one in value)
