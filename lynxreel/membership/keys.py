"""Interprets the keys under an etcd prefix: boxes and operator settings. No I/O.

    PREFIX boxes/ID               one box: an object as in a document of boxes, without its id
    PREFIX settings/limits        the table `limits` of the operator file, as JSON
    PREFIX settings/classes/NAME  one class, without its name; likewise settings/plans/NAME

A box whose value can't be read is left out and reported in `Keys.unreadable`; the others are used.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from lynxreel.etcd.listwatch import Change, Entry
from lynxreel.membership.core import Box
from lynxreel.membership.document import DocumentError, read_box

BOXES, SETTINGS = "boxes/", "settings/"


@dataclass(frozen=True)
class Unreadable:
    """A value that can't be read, and why."""

    why: str


@dataclass
class Keys:
    """What is known under one prefix; keys come without the prefix."""

    settings: dict[str, bytes] = field(default_factory=dict)
    unreadable: dict[str, str] = field(default_factory=dict)  # ids of boxes that are left out, and why
    leases: dict[str, int] = field(default_factory=dict)  # lease ids, by box, for keys that have one
    settings_revision: int = 0  # of the last change of settings

    @staticmethod
    def parse(key: str, value: bytes) -> object:
        """Interpret a value: a Box, the bytes of settings, Unreadable, or None for an unknown key."""
        if key.startswith(SETTINGS):
            return value
        box_id = key.removeprefix(BOXES)
        if box_id == key:
            return None
        try:
            return read_box(box_id, value)
        except DocumentError as error:
            return Unreadable(str(error))

    def apply_full_list(self, revision: int, entries: Iterable[Entry]) -> tuple[list[Box], bool]:
        """Process a full list; return the boxes, and whether settings changed."""
        previous, self.settings = self.settings, {}
        self.unreadable, self.leases = {}, {}
        boxes = []
        for entry in entries:
            box = self._process(entry)
            boxes += [box] if box is not None else []
        if previous != self.settings:
            self.settings_revision = revision
        return boxes, previous != self.settings

    def apply_changes(self, changes: Iterable[Change]) -> tuple[list[Box], list[str], bool]:
        """Process changes, where the last one of each key counts.

        Returns boxes put, ids deleted, and whether settings changed.
        """
        put: dict[str, Box] = {}
        deleted: dict[str, None] = {}
        settings = False
        for change in changes:
            box_id = change.key.removeprefix(BOXES)
            if change.key.startswith(SETTINGS):
                settings, self.settings_revision = True, change.revision
                self.settings.pop(change.key, None)
            elif box_id != change.key:
                self.unreadable.pop(box_id, None)
                self.leases.pop(box_id, None)
                put.pop(box_id, None)
                deleted[box_id] = None
            box = self._process(change.entry) if change.entry is not None else None
            if box is not None:
                deleted.pop(box_id)
                put[box_id] = box
        return list(put.values()), list(deleted), settings

    def _process(self, entry: Entry) -> Box | None:
        box_id = entry.key.removeprefix(BOXES)
        match entry.value:
            case Unreadable(why=why):
                self.unreadable[box_id] = why
            case Box() as box:
                if entry.lease:
                    self.leases[box_id] = entry.lease
                return box
            case bytes() as text:
                self.settings[entry.key] = text
        return None
