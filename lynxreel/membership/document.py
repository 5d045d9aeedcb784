"""The list of boxes as a JSON document. It is read as a whole or not at all; errors tell their place.

    {"revision": 41, "boxes": [{"id": "b1", "address": "10.0.0.5:7001", "state": "serving"}, ...]}
    sha256 3f1c...

The second line is optional: the SHA-256, in hex, of all bytes before that line. It reveals a document that
was partly written over an older one even if the mixture is valid JSON.
"""

from __future__ import annotations

import hashlib
import json
from typing import Literal, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from lynxreel.config.model import Address, Name
from lynxreel.membership.core import Box
from lynxreel.protocol.address import read_address
from mothgap.interface import State

STATES = {"serving": State.READY, "draining": State.DRAINING}
MAX_BYTES = 16 * 1024 * 1024
CHECKSUM_PREFIX = b"sha256 "
Model = TypeVar("Model", bound=BaseModel)


class DocumentError(ValueError):
    """The document is invalid; the text says where and why."""


class _Entry(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)

    id: Name
    address: Address
    state: Literal["serving", "draining"] = "serving"
    kind: str = ""
    zone: str = ""
    cell: int = Field(default=0, ge=0)
    weight: float = Field(default=1.0, gt=0, allow_inf_nan=False)
    started_at_ms: int = Field(default=0, ge=0)


class _Document(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)

    revision: int = Field(ge=0)
    boxes: tuple[_Entry, ...] = Field(strict=False)


def read(raw: bytes) -> tuple[int, list[Box]]:
    """Return revision and boxes. Raises DocumentError with the first error."""
    if len(raw) > MAX_BYTES:
        raise DocumentError(f"{len(raw)} bytes; {MAX_BYTES} at most")
    body, _, checksum_line = raw.rstrip(b"\n").rpartition(b"\n")
    if checksum_line.startswith(CHECKSUM_PREFIX):
        if hashlib.sha256(body + b"\n").hexdigest().encode() != checksum_line[len(CHECKSUM_PREFIX) :].strip():
            raise DocumentError("its sum does not match: half written, or edited after the sum was computed")
    else:
        body = raw
    document = _validate(_Document, _parse(body))
    ids = [entry.id for entry in document.boxes]
    if len(set(ids)) < len(ids):
        duplicate = next(box_id for box_id in ids if ids.count(box_id) > 1)
        raise DocumentError(f"boxes: the id {duplicate!r} occurs twice")
    return document.revision, [_to_box(entry) for entry in document.boxes]


def read_box(box_id: str, raw: bytes) -> Box:
    """Read one box from an object as in a document, where the id may be missing. Raises DocumentError."""
    value = _parse(raw)
    if not isinstance(value, dict):
        raise DocumentError("not a JSON object")
    if value.get("id", box_id) != box_id:
        raise DocumentError(f"id: is {value['id']!r} under the name {box_id!r}")
    return _to_box(_validate(_Entry, {**value, "id": box_id}))


def write_box(box: Box) -> bytes:
    """Return the object that `read_box` reads, without the id."""
    return json.dumps({key: value for key, value in _to_object(box).items() if key != "id"}).encode()


def _parse(raw: bytes) -> object:
    try:
        return json.loads(raw, object_pairs_hook=_reject_duplicate_keys)
    except RecursionError:
        raise DocumentError("nested too deep") from None
    except ValueError as error:
        raise DocumentError(f"no JSON, or half written: {error}") from None


def _validate(model: type[Model], value: object) -> Model:
    try:
        return model.model_validate(value)
    except ValidationError as error:
        first = error.errors()[0]
        place = "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in first["loc"])
        raise DocumentError(f"{place.lstrip('.')}: {first['msg']}") from None


def _to_box(entry: _Entry) -> Box:
    return Box(
        entry.id,
        read_address(entry.address),
        STATES[entry.state],
        entry.kind,
        entry.zone,
        entry.cell,
        entry.weight,
        entry.started_at_ms * 1_000,
    )


def _reject_duplicate_keys(pairs: list[tuple[str, object]]) -> dict[str, object]:
    document = dict(pairs)
    if len(document) < len(pairs):
        raise ValueError("a key occurs twice in one object")
    return document


def write(revision: int, boxes: list[Box]) -> bytes:
    """Return a document with its sum."""
    entries = [_to_object(box) for box in boxes]
    body = json.dumps({"revision": revision, "boxes": entries}).encode() + b"\n"
    return body + CHECKSUM_PREFIX + hashlib.sha256(body).hexdigest().encode() + b"\n"


def _to_object(box: Box) -> dict[str, object]:
    names = {state: name for name, state in STATES.items()}
    return {
        "id": box.id, "address": f"{box.address[0]}:{box.address[1]}", "state": names[box.state],
        "kind": box.kind, "zone": box.zone, "cell": box.cell, "weight": box.weight,
        "started_at_ms": box.started // 1_000,
    }  # fmt: skip
