"""A fleet whose number of gateways changes in service. No I/O.

Which gateways serve a customer follows from the number of gateways, and each holds an even part of the
customer's ceiling. While the number changes, fronts go by either number, so two sets of gateways may serve
a customer at once. As in Raft's joint consensus, the way from one view to another goes through a joint one,
in which every gateway holds half: half for either set.

    4            every gateway holds its even share
    8, before 4  all hand back what they had saved up, and hold half; then, not before, fronts may go by 8
    8            fronts all go by 8, and each gateway takes its whole share, in its own time

`advise` says when the next step may be made: when all that run have taken the one before.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class View:
    """How many gateways there are; and in a joint view, how many there were before."""

    gateways: int
    before: int = 0  # 0: it is settled

    @property
    def joint(self) -> bool:
        """Fronts may go by either number."""
        return self.before > 0

    @property
    def most(self) -> int:
        """Gateways that may be asked."""
        return max(self.gateways, self.before)

    def part(self, number: int) -> float:
        """What part of an even share the gateway of this number holds; nothing where fronts don't know it."""
        if number >= self.most:
            return 0.0
        return 0.5 if self.joint else 1.0

    def __str__(self) -> str:
        return f"{self.gateways}, before {self.before}" if self.joint else str(self.gateways)


def problem(old: View, new: View) -> str:
    """Why a gateway that goes by the old view can't go by the new one next; nothing where it can."""
    if old == new:
        return ""
    if old.joint and new.joint:
        mend = f"settle it first, with {old.gateways} or {old.before} alone"
        return f"the change to {old} is not over; mend: {mend}"
    if old.joint:
        sides = (old.gateways, old.before)
        if new.gateways not in sides:
            return f"{old} can only be settled; mend: write {sides[0]} or {sides[1]} alone"
        return ""
    if not new.joint or new.before != old.gateways:
        mend = f"write gateways = {new.gateways}, before = {old.gateways} until all gateways have taken it"
        why = "shares would add up to more than the whole"
        return f"goes from {old} to {new} in one step: {why}; mend: {mend}"
    return ""


class Step(Enum):
    """What may be done next."""

    WAIT = "wait"  # for some that run and have not taken the last step
    MOVE_FRONTS = "move fronts"  # to the new number; and then settle
    CHANGE = "change"  # all is settled


@dataclass(frozen=True, slots=True)
class Advice:
    """What may be done next, and why."""

    step: Step
    text: str


def advise(target: View, running: Mapping[str, View | None]) -> Advice:
    """What may be done after `target` was given out; `running`: what each gateway that may run goes by.

    None: it can't be asked, and may run all the same. One that has surely ended is not in it.
    """
    unknown = sorted(name for name, view in running.items() if view is None)
    behind = sorted(name for name, view in running.items() if view is not None and view != target)
    if unknown or behind:
        told = [f"{name} can't be asked" for name in unknown]
        told += [f"{name} still goes by {running[name]}" for name in behind]
        wait = "no front may go by another number, and nothing may be settled, until then"
        return Advice(Step.WAIT, f"{'; '.join(told)}: {wait}")
    if target.joint:
        then = f"then write gateways = {target.gateways} without before"
        return Advice(Step.MOVE_FRONTS, f"all hold half: move every front to {target.gateways}; {then}")
    return Advice(Step.CHANGE, f"all {len(running)} go by {target}")
