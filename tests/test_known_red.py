"""KNOWN-RED.txt: three tests at most, each of which there is."""

import ast
from pathlib import Path

import pytest

from tests.known_red import FILE, MOST, read_known_red


def test_each_entry_names_a_test() -> None:
    for entry in read_known_red():
        file, _, name = entry.test.partition("::")
        tree = ast.parse((FILE.parent / file).read_text())
        assert name in {node.name for node in tree.body if isinstance(node, ast.FunctionDef)}, entry


def test_an_entry_too_many_or_without_a_cause_is_an_error(tmp_path: Path) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("tests/test_x.py::test_y | cause | issue\n" * MOST)
    assert len(read_known_red(path)) == MOST
    path.write_text("tests/test_x.py::test_y | cause | issue\n" * (MOST + 1))
    with pytest.raises(ValueError, match="4 entries, 3 at most"):
        read_known_red(path)
    path.write_text("tests/test_x.py::test_y | | issue\n")
    with pytest.raises(ValueError, match="line 1"):
        read_known_red(path)
