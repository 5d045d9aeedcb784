"""A document in YAML or JSON, with the line of each part of it; every error with its place.

YAML is read by PyYAML's C parser, with the scalars of YAML 1.2's core schema: `no` is a word, a date is text.
Keys are text whatever they look like. Aliases are taken, but a document that grows beyond MOST_NODES by them
is refused, as is one that holds itself.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import Any

import yaml

MOST_BYTES = 32 * 1024 * 1024
MOST_NODES = 2_000_000  # with aliases counted wherever they stand
MOST_DEPTH = 200


@dataclass(frozen=True)
class Problem:
    """One thing that is wrong: where, what, and how to mend it. `pointer` is a JSON pointer."""

    file: str
    line: int
    pointer: str
    text: str
    mend: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: #{self.pointer}: {self.text}; mend: {self.mend}"


class TextError(ValueError):
    """A document can't be read; `problem` says where."""

    def __init__(self, problem: Problem) -> None:
        self.problem = problem
        super().__init__(str(problem))


class _Loader(yaml.CSafeLoader):
    """Scalars as YAML 1.2 has them."""


_Loader.yaml_implicit_resolvers = {}
for tag, pattern, first in (
    ("null", r"~|null|Null|NULL|", ["~", "n", "N", ""]),
    ("bool", r"true|True|TRUE|false|False|FALSE", list("tTfF")),
    ("int", r"[-+]?[0-9]+|0o[0-7]+|0x[0-9a-fA-F]+", list("-+0123456789")),
    (
        "float",
        r"[-+]?(\.[0-9]+|[0-9]+(\.[0-9]*)?)([eE][-+]?[0-9]+)?|[-+]?\.(inf|Inf|INF)|\.(nan|NaN|NAN)",
        list("-+0123456789."),
    ),
):
    _Loader.add_implicit_resolver(f"tag:yaml.org,2002:{tag}", re.compile(rf"^(?:{pattern})$"), first)


def token(key: str) -> str:
    """A key as a part of a JSON pointer."""
    return key.replace("~", "~0").replace("/", "~1")


class Text:
    """A document that has been read."""

    def __init__(self, name: str, value: Any, root: yaml.Node) -> None:
        self.name, self.value, self._root = name, value, root
        self._keys: dict[int, dict[str, tuple[int, yaml.Node]]] = {}  # of large objects: line and value

    def line(self, pointer: str) -> int:
        """The line on which a part begins; of what holds it, where there is no such part."""
        node, line = self._root, self._root.start_mark.line + 1
        for part in pointer.split("/")[1:]:
            key = part.replace("~1", "/").replace("~0", "~")
            if isinstance(node, yaml.MappingNode):
                found = self._index(node).get(key)
                if found is None:
                    return line
                line, node = found
            elif isinstance(node, yaml.SequenceNode) and key.isdigit() and int(key) < len(node.value):
                node = node.value[int(key)]
                line = node.start_mark.line + 1
            else:
                return line
        return line

    def _index(self, node: yaml.MappingNode) -> dict[str, tuple[int, yaml.Node]]:
        if id(node) not in self._keys:
            pairs = {key.value: (key.start_mark.line + 1, value) for key, value in node.value}
            self._keys[id(node)] = pairs
        return self._keys[id(node)]

    def problem(self, pointer: str, text: str, mend: str) -> Problem:
        """A problem with a part of it."""
        return Problem(self.name, self.line(pointer), pointer, text, mend)


def read(raw: bytes, name: str) -> Text:
    """The document. Raises TextError with the first thing that is wrong."""
    if len(raw) > MOST_BYTES:
        raise TextError(Problem(name, 1, "", f"{len(raw)} bytes", f"{MOST_BYTES} at most: split it"))
    try:
        text = raw.decode("utf-8-sig")
    except UnicodeDecodeError as wrong:
        line = raw[: wrong.start].count(b"\n") + 1
        raise TextError(Problem(name, line, "", f"byte {wrong.start} is no UTF-8", "save as UTF-8")) from None
    if text.lstrip()[:1] == "{" and name.endswith(".json"):
        try:  # tabs and more are JSON, but no YAML
            json.loads(text)
        except json.JSONDecodeError as wrong:
            raise TextError(Problem(name, wrong.lineno, "", f"no JSON: {wrong.msg}", "correct it")) from None
        except RecursionError:
            raise TextError(Problem(name, 1, "", "nested without an end", "nest less")) from None
        text = text.replace("\t", " ")
    try:
        root = yaml.compose(text, _Loader)
    except yaml.YAMLError as wrong:
        mark = getattr(wrong, "problem_mark", None)
        line = mark.line + 1 if mark is not None else 1
        what = getattr(wrong, "problem", None) or str(wrong).partition("\n")[0]
        raise TextError(Problem(name, line, "", f"no YAML: {what}", "correct the syntax there")) from None
    except RecursionError:
        raise TextError(Problem(name, 1, "", "nested without an end", "nest less")) from None
    if root is None:
        raise TextError(Problem(name, 1, "", "is empty", "write a description"))
    return Text(name, _Builder(name).build(root, "", 0), root)


class _Builder:
    """Makes values of nodes; the parts that an alias repeats are made once."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._made: dict[int, tuple[Any, int]] = {}  # value and how many nodes it stands for
        self._open: set[int] = set()
        self._count = 0

    def build(self, node: yaml.Node, pointer: str, depth: int) -> Any:
        """The value."""
        before = self._made.get(id(node))
        if before is not None:
            self._grow(node, pointer, before[1])
            return before[0]
        if id(node) in self._open:
            raise self._wrong(node, pointer, "holds itself", "write it out, or use $ref")
        if depth > MOST_DEPTH:
            raise self._wrong(node, pointer, f"is nested deeper than {MOST_DEPTH}", "nest less")
        self._open.add(id(node))
        begun = self._count
        self._grow(node, pointer, 1)
        value = self._value(node, pointer, depth)
        self._open.discard(id(node))
        self._made[id(node)] = (value, self._count - begun)
        return value

    def _grow(self, node: yaml.Node, pointer: str, by: int) -> None:
        self._count += by
        if self._count > MOST_NODES:
            raise self._wrong(node, pointer, f"more than {MOST_NODES} values, with its aliases", "split it")

    def _value(self, node: yaml.Node, pointer: str, depth: int) -> Any:
        if isinstance(node, yaml.MappingNode):
            found: dict[str, Any] = {}
            for key, value in node.value:
                if not isinstance(key, yaml.ScalarNode):
                    raise self._wrong(key, pointer, "a key that is no text", "write a word")
                place = f"{pointer}/{token(key.value)}"
                if key.value in found:
                    raise self._wrong(key, place, f"the key {key.value!r} stands twice", "take one out")
                found[key.value] = self.build(value, place, depth + 1)
            return found
        if isinstance(node, yaml.SequenceNode):
            return [self.build(item, f"{pointer}/{n}", depth + 1) for n, item in enumerate(node.value)]
        kind, text = node.tag.rpartition(":")[2], node.value
        try:
            if kind == "null":
                return None
            if kind == "bool":
                return text.lower() == "true"
            if kind == "int":
                return int(text, 0) if text[:2] in ("0x", "0o") else int(text)
            if kind == "float":
                return float(text.lower().replace(".inf", "inf").replace(".nan", "nan"))
        except ValueError:
            raise self._wrong(node, pointer, f"{text[:40]!r} is no number", "quote it") from None
        return text

    def _wrong(self, node: yaml.Node, pointer: str, text: str, mend: str) -> TextError:
        return TextError(Problem(self._name, node.start_mark.line + 1, pointer, text, mend))
