"""The usual clients: each keeps its connection, asks, reads the answer and rests. One line of JSON an event.

After each request the client looks at its own socket: once the system of the gateway has acknowledged all of
it and the connection is still open in both directions, the gateway has been given the request. What became of it
is told with the time from the write to the answer, the end or the reset.
"""

from __future__ import annotations

import fcntl
import json
import random
import select
import socket
import struct
import sys
import termios
import threading
import time

ESTABLISHED = 1  # of the states of tcp(7)


def is_open(own: socket.socket) -> bool:
    """Whether neither side has ended the connection. On a loopback address an end is seen at once."""
    return own.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == ESTABLISHED


def acknowledged(own: socket.socket) -> bool:
    """Whether the system of the gateway has acknowledged all that was written."""
    return struct.unpack("i", fcntl.ioctl(own, termios.TIOCOUTQ, b"\0\0\0\0"))[0] == 0


def ask(own: socket.socket, number: str, customer: int) -> tuple[str, bool, float]:
    """One request: how it ended, whether it had been taken, and after how many seconds."""
    terms = f"c=lookup,t=basic,d=2000,units=1,spread=1,first=0"
    words = [b"CALL.GET", b"%016x" % customer, number.encode(), terms.encode()]
    began = time.monotonic()
    try:
        own.sendall(b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words))
    except OSError:
        return "ended before it was written", False, 0.0
    was_taken, held = is_open(own), b""
    own.settimeout(4.0)
    while True:
        try:
            more = own.recv(4096)
        except TimeoutError:
            return "no answer", was_taken, time.monotonic() - began
        except OSError:
            return "reset", was_taken, time.monotonic() - began
        spent = time.monotonic() - began
        if not more:
            return "ended", was_taken and acknowledged(own), spent
        held += more
        if held.startswith(b"-") and held.endswith(b"\r\n"):
            return ("refused" if held.startswith(b"-BUSY") else "failed"), was_taken, spent
        if held.startswith(b"$") and held.count(b"\r\n") == 2 and held.endswith(b"\r\n"):
            right = held.split(b"\r\n")[1] == b"done " + number.encode()
            return ("served" if right else "a foreign value"), was_taken, spent


def client(index: int, address: tuple[str, int], seconds: float, out: list[str]) -> None:
    chance = random.Random(index)
    end, own, count = time.monotonic() + seconds, None, 0
    time.sleep(chance.uniform(0, 2))
    while time.monotonic() < end:
        if own is not None and select.select([own], [], [], chance.uniform(*REST))[0]:
            own.close()  # the gateway has closed it between two requests
            own = None
        first = own is None
        try:
            own = own or socket.create_connection(address, timeout=4.0)
            own.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            own = None
            continue
        count += 1
        number = f"{0xA000 + index:08x}{count:08x}"
        how, was_taken, spent = ask(own, number, 1000 + index)
        out.append(json.dumps({"id": number, "how": how, "taken": was_taken, "first": first, "ms": round(spent * 1e3, 1)}))
        if how not in ("served", "refused", "failed"):
            own.close()
            own = None


REST = (0.5, 1.9)  # seconds

if __name__ == "__main__":
    host, _, port = sys.argv[1].rpartition(":")
    lines: list[str] = []
    threads = [
        threading.Thread(target=client, args=(index, (host, int(port)), float(sys.argv[3]), lines))
        for index in range(int(sys.argv[2]))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print("\n".join(lines))
