"""Records after a crash in the middle of a line, on a full disk, and with an unusable folder."""

import json
from pathlib import Path

import pytest

from lynxreel.records import format as lines
from lynxreel.records.reader import read
from lynxreel.records.tally import Tally
from lynxreel.records.writer import Writer
from mothgap.interface import Cause


def write_reloads(file: Path, count: int, max_bytes: int = 1_000_000) -> Writer:
    writer = Writer(file, max_bytes, "g0")
    for number in range(count):
        writer.write("reload", {"ok": True, "lines": [str(number)]})
    writer.close(10.0)
    return writer


def test_a_file_has_a_header_and_all_lines(tmp_path: Path) -> None:
    write_reloads(tmp_path / "r", 3)
    records = read(tmp_path / "r")
    assert [line["record"] for line in records.lines] == ["header", "reload", "reload", "reload"]
    assert records.lines[0]["format"] == lines.FORMAT
    assert set(lines.KINDS) == set(records.lines[0]["kinds"])
    assert records.torn == 0


@pytest.mark.parametrize("cut", range(1, 40, 3))
def test_a_crash_in_the_middle_of_a_line_damages_no_other_line(tmp_path: Path, cut: int) -> None:
    file = tmp_path / "r"
    write_reloads(file, 2)
    file.write_bytes(file.read_bytes()[:-cut])
    write_reloads(file, 2)
    records = read(file)
    reloads = [line["lines"][0] for line in records.lines if line["record"] == "reload"]
    # A line that lacks only its newline is complete.
    assert reloads == (["0", "1", "0", "1"] if cut == 1 else ["0", "0", "1"])
    assert records.torn == (0 if cut == 1 else 1)


def test_zeros_and_garbage_are_skipped(tmp_path: Path) -> None:
    file = tmp_path / "r"
    write_reloads(file, 1)
    with file.open("ab") as out:
        out.write(b"\0" * 100 + b"\n\xff\xfe{]\n[1]\n{}\n")
    write_reloads(file, 1)
    records = read(file)
    assert [line["record"] for line in records.lines] == ["header", "reload", "header", "reload"]
    assert records.torn == 3


def test_two_files_bound_the_size_and_each_has_a_header(tmp_path: Path) -> None:
    file = tmp_path / "r"
    write_reloads(file, 500, max_bytes=10_000)
    sizes = [part.stat().st_size for part in (file, tmp_path / "r.1")]
    assert sum(sizes) <= 10_000 + 2_000  # plus one header in each
    for part in (file, tmp_path / "r.1"):
        assert json.loads(part.read_bytes().split(b"\n")[0])["record"] == "header"
    numbers = [int(line["lines"][0]) for line in read(file).lines if line["record"] == "reload"]
    assert numbers == list(range(numbers[0], 500))


def test_a_full_disk_is_logged_and_counted_and_a_later_gap_record_reports_it(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "r"
    file.symlink_to("/dev/full")
    writer = Writer(file, 1_000_000, "g0")
    for _ in range(5):
        writer.write("started")
    while writer.missed < 5:
        pass
    file.unlink()
    writer.write("stopped", {"left": 0})
    writer.close(10.0)
    records = read(file)
    assert [line["record"] for line in records.lines] == ["header", "gap", "stopped"]
    assert records.lines[1]["lines"] == 5
    assert "No space left" in records.lines[1]["why"]
    assert capsys.readouterr().err.count("serving goes on") == 1


def test_a_folder_that_is_a_file_never_fails_a_write(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    assert write_reloads(tmp_path / "file" / "r", 4).missed == 4


def test_reading_a_tally_gives_names_and_resets_its_counts() -> None:
    tally = Tally()
    tally.taken(0, 1)
    tally.taken(0, 1)
    tally.taken(5, 0)
    tally.ended(0, 1, "served", None)
    tally.ended(0, 1, "refused", Cause.QUOTA)
    content = tally.read({0: "lookup"}, {0: "basic", 1: "carrier"})
    assert content["counts"] == [
        {"class": "lookup", "plan": "carrier", "refused": 1, "served": 1, "taken": 2},
        {"class": "5", "plan": "basic", "taken": 1},
    ]
    assert content["causes"] == {"refused": {"quota": 1}}
    assert tally.read({}, {}) == {}
    assert tally.totals["taken"] == 3
