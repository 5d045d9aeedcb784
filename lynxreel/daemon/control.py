"""Tells a running instance what to do, by its state file and a signal."""

from __future__ import annotations

import json
import os
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path

from lynxreel.config.read import ConfigError, read
from lynxreel.daemon.place import Place
from lynxreel.jsonlines import ask

ASKS = {"reload": signal.SIGHUP, "leave": signal.SIGUSR1, "stop": signal.SIGTERM}
NOT_RUNNING, NOT_DONE, REFUSED, BAD_CONFIG = 3, 4, 1, 78
LOOK = 0.05  # seconds between looks at the state file


def control(what: str, config: Path, wait: float) -> int:
    """0 where it was asked, or done within `wait` seconds; 3: nothing runs; 4: not done yet; 1: refused."""
    try:
        place = Place(read(config).state.folder)
    except ConfigError as wrong:
        print(wrong, file=sys.stderr)
        return BAD_CONFIG
    state = place.read()
    if what == "status":
        if not place.held():
            state["state"] = "stopped" if state.get("state") == "stopped" else "dead"
        print(json.dumps(state, indent=2))
        return 0 if place.held() else NOT_RUNNING
    # The lock, not the file, tells that the process of that number is still the instance.
    if not place.held() or not isinstance(pid := state.get("pid"), int):
        print(f"{place.folder}: no instance runs here", file=sys.stderr)
        return NOT_RUNNING
    before = state.get("reloads")
    os.kill(pid, ASKS[what])
    last = time.monotonic() + wait
    while time.monotonic() < last:
        time.sleep(LOOK)
        state = place.read()
        if what != "reload":
            if not place.held():
                return 0
            continue
        if state.get("reloads") != before and state.get("state") != "reloading":
            for problem in state["reload_problems"]:
                print(problem, file=sys.stderr)
            return REFUSED if state["reload_problems"] else 0
    return 0 if wait <= 0 else NOT_DONE


def say(line: str, config: Path) -> int:
    """An operator's call to an instance, or to each of its workers; 0: all say +OK, 1: one does not."""
    answers = list[str]()
    if code := _each(config, lambda queries: answers.append(str(ask(queries, "call", line=line)))):
        return code
    print(*answers, sep="\n")
    return 0 if all(answer.startswith("+OK") for answer in answers) else REFUSED


def boxes(config: Path, approve: bool) -> int:
    """Print what a running instance believes of its boxes; with `approve`, first let it follow its source."""

    def approved(queries: str) -> None:
        held = ask(queries, "approve")
        print(f"approved: {held}" if held else "nothing was held", file=sys.stderr)

    told = list[object]()
    code = _each(config, approved) if approve else 0  # each worker follows its source by itself
    if code := code or _each(config, lambda queries: told.append(ask(queries, "boxes"))):
        return code
    print(json.dumps(told[0] if len(told) == 1 else told, indent=2))
    return 0


def _each(config: Path, act: Callable[[str], None]) -> int:
    """Do this with the query socket of each instance that runs; an exit code, 0 where it was done."""
    try:
        for place in Place(read(config).state.folder).instances():
            act(str(place.queries))
    except ConfigError as wrong:
        print(wrong, file=sys.stderr)
        return BAD_CONFIG
    except (OSError, ValueError) as wrong:
        print(f"no instance can be asked: {wrong}", file=sys.stderr)
        return NOT_RUNNING
    return 0
