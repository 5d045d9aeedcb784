"""Load reports: `name=number,name=number`, as servers send them with answers."""

from __future__ import annotations

import math


class Report:
    """Reads reports that hold these fields, and perhaps others."""

    def __init__(self, fields: tuple[str, ...]) -> None:
        self._fields = fields

    def read(self, text: bytes | None) -> tuple[float, ...]:
        """The figures in the order of the fields; nothing where it is no report."""
        if not text:
            return ()
        try:
            given = dict(item.split("=", 1) for item in text.decode().split(","))
            load = tuple(float(given[name]) for name in self._fields)
        except (ValueError, KeyError):
            return ()
        return load if all(math.isfinite(figure) and figure >= 0 for figure in load) else ()
