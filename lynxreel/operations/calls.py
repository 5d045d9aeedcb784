"""Interprets operator calls, without I/O: takes the lifecycle and a line, returns the answer and actions."""

from __future__ import annotations

from lynxreel.daemon.lifecycle import Ask, Do, Life, State

MAX_LINE = 256  # bytes; a longer line is rejected
NO_CALL = b"-ERR no call\r\n"  # the line is missing or incomplete at the timeout or at end of file
TOO_LONG = b"-ERR no call is that long\r\n"
COMMANDS = {b"DRAIN": Ask.DRAIN, b"UNDRAIN": Ask.UNDRAIN}


def answer(life: Life, now: float, line: bytes, missing: str = "") -> tuple[bytes, list[Do]]:
    """Handle one call; return the line to send back and the actions to take. `now` is on the clock of `life`.

    READY is answered with +OK by an instance that takes clients and can serve them: not while it starts, is
    drained or shuts down, nor if `missing` names a missing resource. DRAIN and UNDRAIN are idempotent;
    an instance that shuts down can't be undrained.
    """
    command = line.strip().upper()
    if command == b"READY":
        if life.ready and missing:
            return b"-ERR %b\r\n" % missing.encode(), []
        return _line(life.ready, life.state), []
    if (ask := COMMANDS.get(command)) is None:
        return b"-ERR unknown call; there are READY, DRAIN, UNDRAIN\r\n", []
    actions = life.handle(now, ask)
    # An instance that shuts down takes no more clients, so DRAIN succeeds; UNDRAIN fails, as a stop is final.
    return _line(ask is Ask.DRAIN or not life.ending, life.state), actions


def _line(ok: bool, state: State) -> bytes:
    return (b"+OK %b\r\n" if ok else b"-ERR %b\r\n") % state.value.encode()
