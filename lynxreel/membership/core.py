"""Derives the engine's list of boxes from what a source reports. No I/O; the caller passes the time.

A source reports full lists and changes, each with a revision. The reported list is stored unchanged; the
engine's list follows it, unless a guard prevents that:

- a change that would leave no box serving, or remove more than a certain part of the serving boxes within a
  certain time, is held until it is approved, or until the source reports a list that removes fewer;
- an address under two ids belongs to the first: the other one is left out, and logged;
- a box that flaps between serving and not is kept draining until it has been steady for a while.

A source that falls silent changes nothing: the last list stays in force, with its drains, and the silence is
logged. Times are seconds on a monotonic clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from lynxreel.protocol.address import Address
from mothgap.interface import State


@dataclass(frozen=True)
class Box:
    """A box as a source reports it. `started` is Unix time in microseconds; 0: long ago."""

    id: str
    address: Address
    state: State = State.READY
    kind: str = ""
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started: int = 0


@dataclass(frozen=True)
class Guards:
    """Limits on changes that need no approval, and on flapping and silence. Times are seconds."""

    max_removed: float = 0.5  # fraction of the serving boxes that may be removed...
    removed_within: float = 60.0  # ...within this time
    max_flaps: int = 6  # more changes between serving and not...
    flap_window: float = 60.0  # ...within this time make a box flap,
    steady_for: float = 30.0  # and it is kept draining until it has been steady for this time
    silent_after: float = 10.0  # without a report, after which a source counts as silent


@dataclass(frozen=True)
class Publish:
    """Update the engine's list: boxes that are new or changed, and ids that were removed."""

    revision: int
    changed: tuple[Box, ...]
    removed: tuple[str, ...]


@dataclass(frozen=True)
class GuardMessage:
    """A log line for the operators: which guard has acted, and on what."""

    guard: str  # held, approved, released, twice, flapping, steady, silent, backwards
    text: str


Action = Publish | GuardMessage


@dataclass
class _Flapping:
    """Changes of a box between serving and not."""

    at: deque[float] = field(default_factory=deque)
    until: float = 0.0  # kept draining until then; 0: not flapping


class Membership:
    """The list of boxes of one gateway, from one source."""

    def __init__(self, guards: Guards, now: float) -> None:
        self.guards = guards
        self.revision = -1  # the last one that the source reported
        self.known: dict[str, Box] = {}  # the engine's list, by id
        self.held = ""  # why the reported list is not applied; empty if it is
        self._reported: dict[str, Box] = {}  # the reported list, by id
        self._removed: dict[str, float] = {}  # ids that stopped serving, and when
        self._flaps: dict[str, _Flapping] = {}
        self._duplicates: set[str] = set()
        self._last_report, self._silent = now, False

    # --- reports of a source ----------------------------------------------------------------------------

    def apply_full_list(self, now: float, revision: int, boxes: Iterable[Box]) -> list[Action]:
        """Apply a full list. One of an older revision comes from a restored source, and is accepted."""
        actions: list[Action] = []
        if revision < self.revision:
            why = f"revision {revision} after {self.revision}: taken as a new start"
            actions.append(GuardMessage("backwards", why))
        reported = {box.id: box for box in boxes}
        self._note_flaps(now, reported, [*self._reported, *reported])
        self._reported, self.revision = reported, revision
        return [*self._note_alive(now), *actions, *self._update(now)]

    def apply_change(
        self, now: float, revision: int, put: Iterable[Box], gone: Iterable[str]
    ) -> list[Action]:
        """Apply a change as one step. One of a known revision is ignored, except as a sign of life."""
        if revision <= self.revision:
            return self._note_alive(now)
        reported = dict(self._reported)
        for box_id in gone:
            reported.pop(box_id, None)
        reported.update((box.id, box) for box in put)
        self._note_flaps(now, reported, [*self._reported, *reported])
        self._reported, self.revision = reported, revision
        return [*self._note_alive(now), *self._update(now)]

    def source_alive(self, now: float) -> list[Action]:
        """Note that the source is alive, though nothing changed."""
        return self._note_alive(now)

    def approve(self, now: float) -> list[Action]:
        """Approve the held change: apply the reported list, however many boxes that removes."""
        if not self.held:
            return []
        self._removed.clear()
        return [GuardMessage("approved", self.held), *self._update(now, approved=True)]

    def view(self, now: float) -> dict[str, object]:
        """Return both lists and what is held, for the operators."""
        known = {box_id: box.state.name.lower() for box_id, box in self.known.items()}
        reported = {box_id: box.state.name.lower() for box_id, box in self._reported.items()}
        return {
            "revision": self.revision,
            "heard_s_ago": round(now - self._last_report, 1),
            "held": self.held,
            "boxes": [
                {
                    "id": box_id,
                    "address": f"{box.address[0]}:{box.address[1]}",
                    "state": known[box_id],
                    "source_says": reported.get(box_id, "gone"),
                }
                for box_id, box in self.known.items()
            ],
            "left_out": sorted(box_id for box_id in self._reported if box_id not in self.known),
        }

    # --- time -------------------------------------------------------------------------------------------

    def due(self) -> float | None:
        """Return when `tick` has something to do, or None."""
        times = [flaps.until for flaps in self._flaps.values() if flaps.until]
        if not self._silent:
            times.append(self._last_report + self.guards.silent_after)
        return min(times, default=None)

    def tick(self, now: float) -> list[Action]:
        """Release boxes that have been steady, and report a silent source."""
        actions: list[Action] = []
        steady = [box_id for box_id, flaps in self._flaps.items() if 0 < flaps.until <= now]
        for box_id in steady:
            del self._flaps[box_id]
            actions.append(GuardMessage("steady", f"{box_id} is steady again, and follows the source"))
        if steady:
            actions += self._update(now)
        if not self._silent and now >= self._last_report + self.guards.silent_after:
            self._silent = True
            why = f"nothing for {self.guards.silent_after:g} s: revision {self.revision} stays"
            actions.append(GuardMessage("silent", why))
        return actions

    # --- guards -----------------------------------------------------------------------------------------

    def _note_alive(self, now: float) -> list[Action]:
        self._last_report = now
        silent, self._silent = self._silent, False
        return [GuardMessage("silent", "the source reports again")] if silent else []

    def _note_flaps(self, now: float, reported: dict[str, Box], box_ids: Iterable[str]) -> None:
        for box_id in dict.fromkeys(box_ids):
            if _serves(self._reported.get(box_id)) == _serves(reported.get(box_id)):
                continue
            flaps = self._flaps.setdefault(box_id, _Flapping())
            flaps.at.append(now)
            while flaps.at[0] <= now - self.guards.flap_window:
                flaps.at.popleft()
            if len(flaps.at) > self.guards.max_flaps or flaps.until:
                flaps.until = now + self.guards.steady_for
        expired = now - self.guards.flap_window
        for box_id in [n for n, flaps in self._flaps.items() if not flaps.until and flaps.at[-1] <= expired]:
            del self._flaps[box_id]

    def _wanted(self, now: float) -> tuple[dict[str, Box], list[Action]]:
        """Return the reported list, without boxes left out, and with flapping boxes draining."""
        actions: list[Action] = []
        owners: dict[Address, str] = {}
        for box_id, box in self.known.items():
            reported = self._reported.get(box_id)
            if reported is not None and reported.address == box.address:
                owners[box.address] = box_id  # the first owner of an address keeps it
        wanted: dict[str, Box] = {}
        duplicates: set[str] = set()
        for box_id, box in self._reported.items():
            owner = owners.setdefault(box.address, box_id)
            if owner != box_id:
                duplicates.add(box_id)
                if box_id not in self._duplicates:
                    why = f"{box_id} is left out: {box.address[0]}:{box.address[1]} is {owner}'s"
                    actions.append(GuardMessage("twice", why))
                continue
            flaps = self._flaps.get(box_id)
            if flaps is not None and flaps.until > now and box.state is State.READY:
                before = self.known.get(box_id)
                if before is None or before.state is State.READY:
                    actions.append(GuardMessage("flapping", f"{box_id} is kept draining: it flaps"))
                box = replace(box, state=State.DRAINING)
            wanted[box_id] = box
        self._duplicates = duplicates
        return wanted, actions

    def _update(self, now: float, approved: bool = False) -> list[Action]:
        wanted, actions = self._wanted(now)
        serving = {box_id for box_id, box in self.known.items() if _serves(box)}
        remaining = {box_id for box_id, box in wanted.items() if _serves(box)}
        removed = serving - remaining
        # A box that has come back does not count: a rolling restart removes each box for a while.
        self._removed = {n: at for n, at in self._removed.items() if at > now - self.guards.removed_within}
        recent = len(removed.union(self._removed) - remaining)
        why = ""
        if removed and not remaining:
            why = f"no box of {len(serving)} would be left"
        elif removed and recent > max(1.0, self.guards.max_removed * (len(remaining) + recent)):
            why = (
                f"{recent} of {len(remaining) + recent} boxes would go "
                f"within {self.guards.removed_within:g} s"
            )
        if why and not approved:
            if why != self.held:
                actions.append(GuardMessage("held", f"revision {self.revision}: {why}"))
            self.held = why
            return actions
        if self.held and not approved:
            actions.append(GuardMessage("released", f"revision {self.revision} removes no more than allowed"))
        self.held = ""
        self._removed |= dict.fromkeys(removed, now)
        changed = tuple(box for box_id, box in wanted.items() if self.known.get(box_id) != box)
        gone = tuple(box_id for box_id in self.known if box_id not in wanted)
        self.known = wanted
        return [*actions, Publish(self.revision, changed, gone)] if changed or gone else actions


def _serves(box: Box | None) -> bool:
    return box is not None and box.state is State.READY
