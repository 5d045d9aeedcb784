"""Load reports: `name=number,name=number`, as servers send them with answers."""

from __future__ import annotations

import math


class LoadReport:
    """Parses reports that contain the given fields, and possibly others."""

    def __init__(self, fields: tuple[str, ...]) -> None:
        self._fields = fields

    def read(self, text: bytes | None) -> tuple[float, ...]:
        """The values in the order of the fields; empty if the text is not a valid report."""
        if not text:
            return ()
        try:
            values = dict(item.split("=", 1) for item in text.decode().split(","))
            load = tuple(float(values[name]) for name in self._fields)
        except (ValueError, KeyError):
            return ()
        return load if all(math.isfinite(value) and value >= 0 for value in load) else ()
