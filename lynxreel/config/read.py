"""Reads an operator file whole, or tells every error in it: file, key, what is wrong and how to mend it."""

from __future__ import annotations

import difflib
import tomllib
import types
import typing
from pathlib import Path

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from lynxreel.config.model import OperatorFile

MOST_BYTES = 4 * 1024 * 1024  # a larger file is no configuration


class ConfigError(ValueError):
    """The file can't be used; `problems` has a line for each error."""

    def __init__(self, problems: list[str]) -> None:
        self.problems = problems
        super().__init__("\n".join(problems))


def read(path: str | Path) -> OperatorFile:
    """The checked file. Raises ConfigError with every problem found; nothing is half taken."""
    return parse(raw(path), str(path))


def table(path: str | Path) -> dict[str, object]:
    """A TOML file of any kind, as it is written. Raises ConfigError."""
    return _table(raw(path), str(path))


def raw(path: str | Path) -> bytes:
    """A file's bytes. Raises ConfigError."""
    try:
        return Path(path).read_bytes()
    except OSError as wrong:
        why = f"{path}: can't be read: {wrong.strerror}; mend: name a file that can be"
        raise ConfigError([why]) from None


def parse(text: bytes, path: str) -> OperatorFile:
    """The same for bytes; `path` is the name that errors give."""
    try:
        return OperatorFile.model_validate(_table(text, path))
    except ValidationError as wrong:
        raise ConfigError([line(path, error, error["loc"]) for error in wrong.errors()]) from None


def _table(text: bytes, path: str) -> dict[str, object]:
    if len(text) > MOST_BYTES:
        raise ConfigError([f"{path}: {len(text)} bytes; mend: an operator file has {MOST_BYTES} at most"])
    try:
        return tomllib.loads(text.decode())
    except UnicodeDecodeError as wrong:
        raise ConfigError([f"{path}: byte {wrong.start} is no UTF-8; mend: save it as UTF-8"]) from None
    except tomllib.TOMLDecodeError as wrong:
        raise ConfigError([f"{path}: no TOML: {wrong}; mend: correct the syntax there"]) from None


def line(
    path: str, error: ErrorDetails, place: tuple[int | str, ...], model: type[BaseModel] = OperatorFile
) -> str:
    """One error of a file's model as a line; `place` is where it is within `path`."""
    key = "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in place).lstrip(".")
    where = f"{path}: {key}" if key else path
    message = error["msg"].removeprefix("Value error, ")
    if error["type"] == "value_error":  # the model's own checks name the mend
        what, _, mend = message.partition(": ")
        return f"{where}: {what}; mend: {mend or what}"
    last = str(error["loc"][-1])
    if error["type"] == "extra_forbidden":
        near = difflib.get_close_matches(last, _keys(error["loc"][:-1], model), 1)
        return f"{where}: unknown key; mend: " + (f"write {near[0]}" if near else "remove it")
    if error["type"] == "missing":
        return f"{where}: missing; mend: add {last}"
    given = str(error["input"])[:60]
    return f"{where}: is {given!r}; mend: {message[0].lower()}{message[1:]}"


def _keys(place: tuple[int | str, ...], model: type[BaseModel]) -> list[str]:
    """The keys that a model knows at a place."""
    for part in place:
        if isinstance(part, int):
            continue
        field = model.model_fields.get(part)
        found = [] if field is None else _models(field.annotation)
        if not found:
            return []
        model = found[0]
    return [field.alias or name for name, field in model.model_fields.items()]


def _models(annotation: object) -> list[type[BaseModel]]:
    """The tables that a field's type holds, alone, in a list, or beside None."""
    if isinstance(annotation, type) and not isinstance(annotation, types.GenericAlias):
        return [annotation] if issubclass(annotation, BaseModel) else []
    return [model for part in typing.get_args(annotation) for model in _models(part)]
