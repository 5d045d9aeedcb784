"""What a state folder tells of the machine's clock: steps, other boots, files that can't be used."""

import errno
import os
import time
from pathlib import Path

import pytest

from lynxreel.daemon import clock_memory
from lynxreel.daemon.clock_memory import FILE_NAME, ClockMemory, remembered_clock, shown_clock

HOUR_NS = 3_600 * 10**9
AGREE_US = 100_000  # two readings of one clock, a few lines apart


def step(monkeypatch: pytest.MonkeyPatch, by_ns: int) -> None:
    real = time.time_ns
    monkeypatch.setattr(time, "time_ns", lambda: real() + by_ns)


def ahead_us(folder: Path, true_ns: int) -> int:
    """How far the clock of a start is ahead of the time that is given."""
    clock = remembered_clock(folder)
    return clock.now() - true_ns // 1_000


@pytest.mark.parametrize("by_ns", [HOUR_NS, -HOUR_NS, 30 * 10**9, -(10**9)])
def test_a_start_after_a_step_goes_by_the_clock_of_before(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, by_ns: int, capfd: pytest.CaptureFixture[str]
) -> None:
    remembered_clock(tmp_path)
    real = time.time_ns
    step(monkeypatch, by_ns)
    for _ in range(2):  # and the start after that
        assert abs(ahead_us(tmp_path, real())) < AGREE_US
    assert f"was stepped by {by_ns / 1e9:+.1f}" in capfd.readouterr().err


def test_a_small_difference_is_followed_however_often(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    remembered_clock(tmp_path)
    for _ in range(5):
        step(monkeypatch, 400_000_000)
        assert abs(ahead_us(tmp_path, time.time_ns())) < AGREE_US


def test_after_another_boot_the_wall_clock_counts(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    boot = tmp_path / "boot_id"
    monkeypatch.setattr(clock_memory, "BOOT_ID", boot)
    boot.write_text("first\n")
    remembered_clock(tmp_path)
    boot.write_text("second\n")
    step(monkeypatch, HOUR_NS)
    assert abs(ahead_us(tmp_path, time.time_ns())) < AGREE_US
    written = ClockMemory.read(tmp_path / FILE_NAME)
    assert written is not None and written.boot_id == "second"


@pytest.mark.parametrize("text", ["", "{", "[]", '{"boot_id": "x"}', '{"boot_id": "x", "offset_ns": "y"}'])
def test_a_file_that_a_kill_or_a_full_disk_left_torn_is_written_anew(tmp_path: Path, text: str) -> None:
    path = tmp_path / FILE_NAME
    path.write_text(text)
    assert abs(ahead_us(tmp_path, time.time_ns())) < AGREE_US
    written = ClockMemory.read(path)
    assert written is not None and written.boot_id == ClockMemory.current().boot_id


def test_a_folder_that_takes_no_file_hinders_no_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    def full(*_: object) -> None:
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    monkeypatch.setattr(os, "replace", full)
    assert abs(ahead_us(tmp_path, time.time_ns())) < AGREE_US
    assert "No space left" in capfd.readouterr().err
    assert list(tmp_path.iterdir()) == []


def test_a_machine_that_does_not_tell_its_boot_goes_by_its_wall_clock(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clock_memory, "BOOT_ID", tmp_path / "none")
    assert abs(ahead_us(tmp_path, time.time_ns())) < AGREE_US


def test_a_process_held_up_between_two_readings_sees_no_step(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    remembered_clock(tmp_path)
    real, held = time.time_ns, [1.0, 0.0, 0.0, 0.0, 0.0]

    def late() -> int:
        time.sleep(held.pop(0) if held else 0.0)
        return real()

    monkeypatch.setattr(time, "time_ns", late)
    clock = remembered_clock(tmp_path)
    assert abs(clock.now() - real() // 1_000) < AGREE_US
    assert held == []


def test_tools_go_by_the_clock_of_the_instances_and_write_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards `counter inspect`, which names the window that it shows."""
    assert abs(shown_clock(tmp_path).now() - time.time_ns() // 1_000) < AGREE_US
    assert list(tmp_path.iterdir()) == []
    remembered_clock(tmp_path)
    written, real = (tmp_path / FILE_NAME).read_text(), time.time_ns
    step(monkeypatch, HOUR_NS)
    assert abs(shown_clock(tmp_path).now() - real() // 1_000) < AGREE_US
    assert (tmp_path / FILE_NAME).read_text() == written
    (tmp_path / FILE_NAME).write_text("torn")
    assert abs(shown_clock(tmp_path).now() - time.time_ns() // 1_000) < AGREE_US
