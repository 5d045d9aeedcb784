"""Documents that refer to parts of themselves and of each other by `$ref`; files only, and only those inside.

Files come from a function that is handed in: it is given a path relative to the folder of the first document,
which has been checked to stay inside that folder.
"""

from __future__ import annotations

import posixpath
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote, urlsplit

from lynxreel.openapi.text import Problem, Text, TextError, read, token

MOST_FILES = 1_000
Fetch = Callable[[str], bytes]


@dataclass(frozen=True, slots=True)
class Spot:
    """A part of a document: which one, and its JSON pointer there."""

    file: str
    pointer: str

    def at(self, *parts: str | int) -> Spot:
        """A part of this part."""
        return Spot(self.file, self.pointer + "".join(f"/{token(str(part))}" for part in parts))


class RefError(ValueError):
    """A reference leads nowhere; `problem` says which."""

    def __init__(self, problem: Problem) -> None:
        self.problem = problem
        super().__init__(str(problem))


class Documents:
    """The first document and all that it refers to."""

    def __init__(self, first: str, fetch: Fetch) -> None:
        """Raises TextError, or OSError of `fetch`."""
        self._fetch = fetch
        self.first = first
        self.texts: dict[str, Text] = {first: read(fetch(first), first)}

    def problem(self, spot: Spot, text: str, mend: str) -> Problem:
        """A problem with a part."""
        return self.texts[spot.file].problem(spot.pointer, text, mend)

    def follow(self, spot: Spot, value: Any) -> tuple[Spot, Any]:
        """What a value is once its `$ref`s have been followed, and where that stands. Raises RefError."""
        seen = {spot}
        while isinstance(value, dict) and isinstance(value.get("$ref"), str):
            there = self.target(spot, value["$ref"])
            if there in seen:
                raise RefError(self.problem(spot.at("$ref"), "refers to itself", "write it out"))
            seen.add(there)
            spot, value = there, self.value(spot, there)
        return spot, value

    def target(self, spot: Spot, ref: str) -> Spot:
        """Where a reference that stands at a spot leads. Raises RefError."""
        here = spot.at("$ref")
        parts = urlsplit(ref)
        if parts.scheme or parts.netloc or parts.query:
            mend = "save it beside the description, and refer to the file"
            raise RefError(self.problem(here, f"{ref!r} is on the network", mend))
        path, found = unquote(parts.path), target(spot, ref)
        outside = path.startswith("/") or found.file == ".." or found.file.startswith("../")
        if outside or "\\" in path or "\0" in path:
            raise RefError(self.problem(here, f"{ref!r} is outside of the folder", "move it inside"))
        if found.pointer and not found.pointer.startswith("/"):
            mend = "write a JSON pointer, as #/components/schemas/Name"
            raise RefError(self.problem(here, f"{ref!r} is an anchor", mend))
        return found

    def value(self, asker: Spot, target: Spot) -> Any:
        """What stands at a target. Raises RefError that names the asker."""
        here = asker.at("$ref")
        if target.file not in self.texts:
            if len(self.texts) >= MOST_FILES:
                raise RefError(self.problem(here, f"more than {MOST_FILES} files", "join some"))
            try:
                self.texts[target.file] = read(self._fetch(target.file), target.file)
            except OSError as wrong:
                text = f"{target.file} can't be read: {wrong.strerror}"
                raise RefError(self.problem(here, text, "name a file that can be")) from None
            except TextError as wrong:
                raise RefError(wrong.problem) from None
        try:
            return at(self.texts[target.file].value, target.pointer)
        except LookupError:
            text = f"{target.file}#{target.pointer} is not there"
            raise RefError(self.problem(here, text, "write it, or correct the reference")) from None


def target(spot: Spot, ref: str) -> Spot:
    """Where a reference that stands at a spot leads, as it is written."""
    parts = urlsplit(ref)
    file = spot.file
    if parts.path:
        file = posixpath.normpath(posixpath.join(posixpath.dirname(spot.file), unquote(parts.path)))
    return Spot(file, unquote(parts.fragment))


def at(value: Any, pointer: str) -> Any:
    """The part of a document at a JSON pointer. Raises LookupError where there is none."""
    for part in pointer.split("/")[1:]:
        key = part.replace("~1", "/").replace("~0", "~")
        if isinstance(value, dict) and key in value:
            value = value[key]
        elif isinstance(value, list) and key.isdigit() and int(key) < len(value):
            value = value[int(key)]
        else:
            raise LookupError(pointer)
    return value
