"""What a call asks of an instance, and its answer. No I/O: a life and a line in, an answer and deeds out."""

from __future__ import annotations

from lynxreel.daemon.lifecycle import Ask, Do, Life, State

MOST_LINE = 256  # bytes; a longer one is no call
NONE_IN_TIME = b"-ERR no call\r\n"  # for a caller that says nothing, or half of something, for too long
TOO_LONG = b"-ERR no call is that long\r\n"
ASKS = {b"DRAIN": Ask.DRAIN, b"UNDRAIN": Ask.UNDRAIN}


def answer(life: Life, now: float, line: bytes, lacks: str = "") -> tuple[bytes, list[Do]]:
    """Take one call; the line to send back, and what is to be done now. `now` is on the life's clock.

    READY is true of an instance that takes clients and can serve them, so not of one that starts, is drained
    or ends, or `lacks` something. DRAIN and UNDRAIN are fine as often as they come; one that ends can't be
    taken back.
    """
    word = line.strip().upper()
    if word == b"READY":
        if life.ready and lacks:
            return b"-ERR %b\r\n" % lacks.encode(), []
        return _line(life.ready, life.state), []
    if (ask := ASKS.get(word)) is None:
        return b"-ERR unknown call; there are READY, DRAIN, UNDRAIN\r\n", []
    deeds = life.handle(now, ask)
    # One that ends takes no clients any more, as DRAIN asks; nothing can make it come back.
    return _line(ask is Ask.DRAIN or not life.ending, life.state), deeds


def _line(fine: bool, state: State) -> bytes:
    return (b"+OK %b\r\n" if fine else b"-ERR %b\r\n") % state.value.encode()
