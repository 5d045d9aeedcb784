"""Limits how many bytes of clients' commands and answers this process holds, over all connections. No I/O.

Held are the commands that have been read and not answered, and the answers that wait: behind an earlier
command of their connection, or because the client has not read what was sent before. A value that is
forwarded while it arrives is not among them: `Budget` limits those.

The limit is shared by a dynamic threshold: a connection may take commands while it holds less than what is
free. So n connections that hold as much as they may leave 1 / (n + 1) of the limit free, and one that holds
little finds room however many others hold much. One that holds nothing may always take a command that has
been read: it can't be starved.

Input that has been read and not taken has a limit of its own within that one, so that clients which never
complete a command leave room for those that do. Each connection may hold MIN_INPUT of input whatever others
hold. Beyond that, with no room left, the rest of a command stays in its socket until it has arrived there.
It is then read if it fits into the limit, or into EMPTY_FACTOR times the limit where its connection has no
open command, and refused if it does not fit for MAX_ARRIVED_WAIT. So a command is in memory only while it is
served, however slowly its client writes.
"""

from __future__ import annotations

from enum import Enum, auto

INPUT_FRACTION = 0.5  # of the limit, for input that has not been taken
MIN_INPUT = 4 * 1024  # bytes of input that each connection may hold; most commands are far smaller
MIN_READ = 512  # bytes; less room is not worth a read
# Bytes of a read without room: by a read the system finds out that its receive window can be opened again.
WINDOW_UPDATE_READ = 16
EMPTY_FACTOR = 1.5  # on the limit, for the only command of a connection
MAX_ARRIVED_WAIT = 0.5  # seconds that a command which has arrived whole waits for room before it is refused
COMMAND_OVERHEAD = 2 * 1024  # bytes of the objects for an open command, beside its strings
ANSWER_SIZE_DECAY = 1 / 16  # weight of a smaller answer in the expected size; a larger one counts in full


class ClientBuffers:
    """One process's account. Each connection keeps its own sum."""

    def __init__(self, limit: int) -> None:
        """`limit`: bytes, for all connections together."""
        self.limit = limit
        self.held = 0  # all of it, input included
        self.input = 0  # bytes that have been read and not taken
        self.refused = 0  # commands that were refused for lack of room
        self._expected_answer = 0.0

    @property
    def expected_answer(self) -> int:
        """Bytes to reserve for an answer that may have to wait: as large as recent ones."""
        return int(self._expected_answer)

    def record_answer(self, size: int) -> None:
        """Learn from an answer of this many bytes."""
        difference = size - self._expected_answer
        self._expected_answer += difference if difference > 0 else difference * ANSWER_SIZE_DECAY

    def add(self, size: int) -> None:
        """Count this many further bytes as held; a negative number was released."""
        self.held += size

    def has_room(self, own: int) -> bool:
        """Whether a connection that holds `own` bytes may take one more command."""
        return not own or own < self.limit - self.held

    def add_input(self, size: int) -> None:
        """Count this many further bytes as input that has not been taken; less if negative."""
        self.input += size
        self.held += size

    def input_room(self, own_input: int, own_commands: int) -> int:
        """How many more bytes a connection may read that holds this much input and commands; 0 if none."""
        free = min(int(self.limit * INPUT_FRACTION) - self.input, self.limit - self.held)
        room = max(free - own_commands, MIN_INPUT) - own_input
        return room if room >= MIN_READ else 0

    def fits(self, size: int, own: int, empty_factor: float) -> bool:
        """Whether the rest of a command, of `size` bytes, may be read if its connection holds `own`."""
        if not own:
            return self.held + size <= self.limit * empty_factor
        return own + size <= self.limit - self.held


class Reading(Enum):
    """Whether the rest of a command that waits for room may be read."""

    WAIT = auto()
    READ = auto()
    SKIP = auto()  # read, discard and refuse it: it has waited for too long


class ClientInput:
    """The input of one connection: what has been read and not taken."""

    def __init__(self, buffers: ClientBuffers, empty_factor: float = EMPTY_FACTOR) -> None:
        """`empty_factor`: on the limit, for a connection that has no open command."""
        self._buffers, self._empty_factor = buffers, empty_factor
        self.held = 0  # bytes in memory
        self._reserved = 0  # bytes of the rest of a command that is being read, as it fits into the limit
        self._arrived_at: float | None = None  # when the rest of a command was first seen to have arrived

    def update(self, held: int, missing: int) -> None:
        """Count `held` bytes from now on. The current string lacks `missing` bytes; 0 if unknown."""
        reserved = min(self._reserved, missing)
        self._buffers.add_input(held - self.held)
        self._buffers.add(reserved - self._reserved)
        self.held, self._reserved = held, reserved

    def read_size(self, most: int, own_commands: int) -> int:
        """Bytes that may be read at once, `most` at most. `own_commands`: bytes of the open commands."""
        if self._reserved:
            return min(most, self._reserved)
        return min(most, self._buffers.input_room(self.held, own_commands)) or WINDOW_UPDATE_READ

    def must_wait(self, own_commands: int) -> bool:
        """Whether nothing more may be read for now."""
        return not self._reserved and not self._buffers.input_room(self.held, own_commands)

    def try_resume(self, missing: int, arrived: int | None, own_commands: int, now: float) -> Reading:
        """Whether the rest of a command may be read, of which `arrived` bytes of `missing` are in the socket.

        `arrived` is None where the system does not tell; `now` is in seconds.
        """
        if self._buffers.input_room(self.held, own_commands):
            self._arrived_at = None
            return Reading.READ
        if arrived is not None and arrived < missing:
            self._arrived_at = None  # what had arrived was the rest of an earlier command
            return Reading.WAIT
        if self._buffers.fits(missing, own_commands and own_commands + self.held, self._empty_factor):
            self._arrived_at, self._reserved = None, missing
            self._buffers.add(missing)
            return Reading.READ
        if self._arrived_at is None:
            self._arrived_at = now
        if own_commands or now - self._arrived_at < MAX_ARRIVED_WAIT:
            return Reading.WAIT
        self._arrived_at = None
        self._buffers.refused += 1
        return Reading.SKIP

    @property
    def has_arrived(self) -> bool:
        """Whether the rest of a command has arrived, and only lacks room."""
        return self._arrived_at is not None
