"""Tests of reading JSON objects from a stream, with any chunks and layout."""

import json
import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lynxreel.sources import objects as objects_module
from lynxreel.sources.objects import Objects

LEAVES = st.none() | st.booleans() | st.integers() | st.text(max_size=12)
NAMES = st.text(max_size=4)
VALUES = st.recursive(
    LEAVES, lambda deeper: st.lists(deeper, max_size=3) | st.dictionaries(NAMES, deeper), max_leaves=8
)
JSON = st.dictionaries(NAMES, VALUES, max_size=4)


def split(text: bytes, rng: random.Random) -> list[bytes]:
    """Split the text into random pieces."""
    pieces = []
    while text:
        size = rng.choice((1, 2, 7, 40))
        pieces.append(text[:size])
        text = text[size:]
    return pieces


@given(st.lists(JSON, max_size=4), st.sampled_from([None, 1, 4]), st.booleans(), st.integers(0, 1 << 30))
def test_all_objects_are_read_however_the_stream_is_split(
    expected: list[dict[str, Any]], indent: int | None, ascii_only: bool, seed: int
) -> None:
    texts = [json.dumps(one, indent=indent, ensure_ascii=ascii_only).encode() for one in expected]
    text = b"\n\n".join(texts) + b"\r\n"
    rng, objects, parsed = random.Random(seed), Objects(), []
    for piece in split(text, rng):
        parsed += list(objects.feed(piece))
    assert [one for one in parsed if one is not None] == expected
    assert parsed.count(None) >= len(expected)  # each line end counts as a heartbeat


@pytest.mark.parametrize("text", [b"{nope\n", b"[]", b"x", b'{"a":1}]', b'{"a":' + b"[" * 99, b'{"a":1]'])
def test_invalid_objects_raise_at_once(text: bytes) -> None:
    with pytest.raises(ValueError):
        list(Objects().feed(text))


def test_an_object_that_is_too_long_raises(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(objects_module, "MAX_OBJECT_BYTES", 1_000)
    objects = Objects()
    list(objects.feed(b'{"a":"' + b"x" * 900))
    with pytest.raises(ValueError):
        list(objects.feed(b"x" * 200))
