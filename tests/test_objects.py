"""Objects out of a stream, however it is cut and laid out."""

import json
import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lynxreel.sources import objects as module
from lynxreel.sources.objects import Objects

LEAVES = st.none() | st.booleans() | st.integers() | st.text(max_size=12)
NAMES = st.text(max_size=4)
VALUES = st.recursive(
    LEAVES, lambda deeper: st.lists(deeper, max_size=3) | st.dictionaries(NAMES, deeper), max_leaves=8
)
JSON = st.dictionaries(NAMES, VALUES, max_size=4)


def cut(text: bytes, chance: random.Random) -> list[bytes]:
    """The text in random pieces."""
    pieces = []
    while text:
        size = chance.choice((1, 2, 7, 40))
        pieces.append(text[:size])
        text = text[size:]
    return pieces


@given(st.lists(JSON, max_size=4), st.sampled_from([None, 1, 4]), st.booleans(), st.integers(0, 1 << 30))
def test_whatever_is_written_is_read_however_it_is_cut(
    written: list[dict[str, Any]], indent: int | None, plain: bool, seed: int
) -> None:
    texts = [json.dumps(one, indent=indent, ensure_ascii=plain).encode() for one in written]
    text = b"\n\n".join(texts) + b"\r\n"
    chance, objects, read = random.Random(seed), Objects(), []
    for piece in cut(text, chance):
        read += list(objects.feed(piece))
    assert [one for one in read if one is not None] == written
    assert read.count(None) >= len(written)  # a line end after each is a sign of life


@pytest.mark.parametrize("text", [b"{nope\n", b"[]", b"x", b'{"a":1}]', b'{"a":' + b"[" * 99, b'{"a":1]'])
def test_what_is_no_object_is_told_at_once(text: bytes) -> None:
    with pytest.raises(ValueError):
        list(Objects().feed(text))


def test_an_object_without_an_end_is_left(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MOST", 1_000)
    objects = Objects()
    list(objects.feed(b'{"a":"' + b"x" * 900))
    with pytest.raises(ValueError):
        list(objects.feed(b"x" * 200))
