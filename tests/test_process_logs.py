"""Unexpected exceptions are logged and counted, and fail the test whose processes raised them."""

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from lynxreel.cli.main import main
from lynxreel.internal_errors import count_errors, internal_errors
from lynxreel.local.run import verdict
from lynxreel.log import log
from lynxreel.records.reader import read
from tests import process_logs
from tests.fleet import Caller, fleet, run, told
from tests.net import run as run_soon
from tests.test_process import Ended

# Makes the decision module of a process raise an exception for the calls of one customer.
BROKEN_RULES = """
from mothgap import rules
decide = rules.Gateway._on_request
def broken(self, request):
    if request.customer == 0x66:
        raise ZeroDivisionError("on purpose")
    decide(self, request)
rules.Gateway._on_request = broken
"""


def broken_environment(folder: Path) -> dict[str, str]:
    (folder / "sitecustomize.py").write_text(BROKEN_RULES)
    return {"PYTHONPATH": f"{folder}:{Path(__file__).parent.parent}"}


@pytest.mark.causes_internal_errors
def test_internal_errors_appear_in_state_fleet_view_and_records(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path, env=broken_environment(tmp_path)) as deployment:
            (gateway,) = deployment.gateways
            caller = await Caller.to(gateway)
            caller.send("r1", customer=0x66)
            assert await caller.answer() == b"-BUSY"
            caller.send("r2", customer=0x67)
            assert await caller.answer() == b"done r2"
            await told(gateway, internal_errors=1)
            assert await asyncio.to_thread(main, ["fleet", "--config", str(gateway.config)]) in (0, 1)
            assert json.loads(capsys.readouterr().out)["internal_errors"] == {"g0": 1}
            arguments = ["counter", "inspect", "--config", str(gateway.config), "--plan", "standard", "66"]
            assert await asyncio.to_thread(main, arguments) == 0
            assert json.loads(capsys.readouterr().out)["instances"]["g0"]["internal_errors"] == 1
            assert list(deployment.internal_errors()) == ["g0"]
            deployment.do("stop", (0,))
            assert await gateway.process.wait() == 0

    run(scenario)
    counts = [line for line in read(tmp_path / "g0" / "records.jsonl").lines if line["record"] == "counts"]
    assert counts[-1]["internal_errors"] == 1
    assert "ZeroDivisionError: on purpose" in process_logs.found(tmp_path)[0]


@pytest.mark.causes_internal_errors
def test_exceptions_in_callbacks_and_tasks_are_counted_and_logged(capfd: pytest.CaptureFixture[str]) -> None:
    async def scenario() -> None:
        before, loop = internal_errors.count, asyncio.get_running_loop()
        internal_errors.watch(loop)

        async def task() -> None:
            raise KeyError("in a task")

        loop.call_soon(dict[str, str]().__getitem__, "in a callback")
        running = loop.create_task(task())
        await asyncio.wait({running})
        del running
        await asyncio.sleep(0)
        assert internal_errors.count - before == 2

    run_soon(scenario)
    logged = capfd.readouterr().err
    assert "in a callback" in logged and "in a task" in logged
    assert count_errors(logged) >= 2


def test_a_log_with_an_exception_is_found_in_files_and_pipes(tmp_path: Path) -> None:
    (tmp_path / "g0.log").write_text("lynxreel: started\n")
    assert process_logs.found(tmp_path) == []
    (tmp_path / "g1.log").write_text("x\nTraceback (most recent call last):\n  here\n")
    assert process_logs.found(tmp_path) == ["Traceback (most recent call last):\n  here\n"]
    (tmp_path / "g1.log").unlink()
    code = "import sys; sys.stderr.write('lynxreel: internal error in the event x')"
    with Ended(["python3", "-c", code], stderr=-1) as process:
        process.wait()
    assert process_logs.found(tmp_path) == ["internal error in the event x"]
    process_logs._written.clear()


def test_a_local_run_with_an_internal_error_fails() -> None:
    ledger: dict[str, Any] = dict.fromkeys(("lost", "duplicated", "late", "ran_twice", "bad_ends"), 0)
    assert verdict({**ledger, "internal_errors": {}}) == 0
    assert verdict({**ledger, "internal_errors": {"g0": 1}}) == 1
    log("a line")  # an ordinary log line is not an internal error
