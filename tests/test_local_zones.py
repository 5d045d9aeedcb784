"""`lynxreel local` with zones that are left as a fleet."""

import json
from pathlib import Path

import pytest

from lynxreel.cli.main import main
from lynxreel.local.zones import table

SMALL = ["local", "--quiet", "--gateways", "6", "--zones", "3", "--rate", "120"]


def test_a_zone_that_is_lost_on_a_played_day_is_left_by_all_and_told_in_the_books(tmp_path: Path) -> None:
    books = tmp_path / "books.json"
    words = [*SMALL, "--lose-zone", "2", "--lose-at", "2", "--lose-for", "30", "--seconds", "10"]
    assert main([*words, "--folder", str(tmp_path / "day"), "--report", str(books)]) == 0
    told = json.loads(books.read_text())
    first, last = told["zone"]["away"]
    assert 0 < first <= last < 8 and told["served"] > 0
    assert "[takeover]" not in (tmp_path / "day" / "g0.toml").read_text()


@pytest.mark.parametrize(
    ("words", "told"),
    [
        (["--lose-zone", "3"], "--lose-zone: is 3, not a zone from 0 to 2"),
        (["--lose-zone", "1", "--lose-for", "0"], "--lose-at and --lose-for"),
        (["--takeover", "--lose-zone", "1"], "--lose-zone goes with --zones"),
        (["--workers", "2"], "--zones goes without --workers"),
        (["--zones", "0"], "there is one zone at least"),
    ],
)
def test_words_that_do_not_fit(words: list[str], told: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert main([*SMALL, *words]) == 2
    assert told in capsys.readouterr().err


def test_the_live_table_shows_how_far_each_zone_is_left() -> None:
    def zone(stage: str, here: float, epoch: int = 4) -> dict[str, object]:
        return {"stage": stage, "step": 1, "epoch": epoch, "why": "3 see it fail", "here": here, "bad": 3}

    zones = {"z0": zone("in use", 1.0, 0), "z1": zone("leaving", 0.5)}
    states = {0: {"zones": {"zones": zones}}, 1: {"zones": {"zones": zones}}, 2: {}}
    shown = table(states, 2, {"z1": 12.4})
    columns = [list(column.cells) for column in shown.columns]
    assert columns[0] == ["z0", "z1"] and columns[1] == ["in use", "leaving 1"]
    assert columns[4] == ["1 of 1", "1 of 1"] and columns[6] == ["0", "12"]
