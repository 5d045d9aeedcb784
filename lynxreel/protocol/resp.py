"""A RESP2 reader with limits on sizes, for clients' commands and servers' answers, and a writer.

The readers of libraries allocate memory for any announced length before the bytes arrive. This one checks
each type, count and length as soon as its line is complete, so that no peer makes the gateway hold more than
one message.
"""

from __future__ import annotations

MAX_VALUE = 64 * 1024  # bytes in a string
MAX_STREAM = 4 * 1024 * 1024  # bytes in an answer's value that is forwarded while it arrives
MAX_MESSAGE = MAX_VALUE + 4 * 1024  # bytes in all strings of a message: one value and its metadata
MAX_HEADER = 16  # bytes in the line of a count or a length
MAX_ERROR_LINE = 512  # bytes in an error line
BULK, ARRAY, ERROR = b"$", b"*", b"-"
LINE_END = b"\r\n"


class Malformed(ValueError):
    """The input is not a valid message here; where the next message starts is unknown."""


def pack(strings: list[bytes]) -> bytes:
    """Encode a command, or any array of strings."""
    return b"*%d\r\n%b" % (len(strings), b"".join([b"$%d\r\n%b\r\n" % (len(item), item) for item in strings]))


class Reader:
    """Reads flat arrays of strings; with `answers` also error lines, and items that are not strings.

    A complete item that is not a string (null, a number, a line) is returned as None. An answer's first
    string may be larger than a message: `large_remaining` is then the number of its bytes that have not been
    read, `read_piece` returns them as they arrive, and in the array this string is empty.
    """

    __slots__ = (
        "_answers",
        "_announced",
        "_data",
        "_items",
        "_items_missing",
        "_items_size",
        "_length",
        "_max_items",
        "_position",
        "_skipping",
        "large_remaining",
        "skipped",
    )

    def __init__(self, max_items: int, answers: bool = False) -> None:
        self._max_items, self._answers = max_items, answers
        self._data: bytes | bytearray = b""  # the bytes received
        self._position = 0  # how many of them have been read
        self._items: list[bytes | None] = []
        self._items_missing = 0  # items of the current array that have not arrived
        self._length = -1  # of the current string; -1 before it is known
        self._announced = 0  # sum of the lengths in the current array
        self._items_size = 0  # bytes in the items of the current array that have been read
        self._skipping = False  # the strings of the current array are discarded as they arrive
        self.skipped = False  # strings of the last complete message were discarded
        self.large_remaining = 0

    def feed(self, data: bytes) -> None:
        """Add bytes that have been received."""
        if self._position >= len(self._data):
            self._data, self._position = data, 0
            return
        # Appended in place: concatenating would copy a string in many pieces once for each of them.
        if isinstance(self._data, bytes):
            self._data, self._position = bytearray(self._data[self._position :]), 0
        elif self._position > MAX_VALUE:
            del self._data[: self._position]
            self._position = 0
        self._data += data

    def empty(self) -> bool:
        """Whether all input has been read and ends with a complete message."""
        return self._position >= len(self._data) and not self._items_missing

    @property
    def pending(self) -> int:
        """Number of bytes that have been received and not read as a line or an item."""
        return len(self._data) - self._position

    @property
    def held(self) -> int:
        """Number of bytes in memory for messages that have not been returned."""
        return len(self._data) + (self._items_size if self._items_missing else 0)

    @property
    def missing(self) -> int:
        """Number of bytes that the current string lacks, as far as its length is known; 0 if it is not."""
        return max(0, self._length + len(LINE_END) - self.pending) if self._length >= 0 else 0

    def skip(self) -> None:
        """Discard the strings of the current message as they arrive: it is returned with these empty."""
        self._skipping = True

    def read_piece(self) -> bytes:
        """Read the bytes of the large string that have arrived, and subtract them from `large_remaining`."""
        piece = bytes(self._data[self._position : self._position + self.large_remaining])
        self._position += len(piece)
        self.large_remaining -= len(piece)
        return piece

    def next(self) -> list[bytes | None] | bytes | None:
        """The next message: an array, or an error line without its first byte; None if it is not complete.

        Raises Malformed if the input is not valid.
        """
        message = self._next()
        if self._position >= len(self._data):
            self._data, self._position = b"", 0
        return message

    def _next(self) -> list[bytes | None] | bytes | None:
        if not self._items_missing:
            line = self._line(ARRAY + ERROR if self._answers else ARRAY)
            if line is None:
                return None
            if line[:1] == ERROR:
                return bytes(line[1:])
            self._items_missing = self._number(line, self._max_items)
            if not self._items_missing:
                raise Malformed("an array of nothing")
            self._items, self._announced, self._items_size = [], 0, 0
        while self._items_missing:
            if not self._read_item():
                return None
            self._items_missing -= 1
        self.skipped, self._skipping = self._skipping, False
        return self._items

    def _read_item(self) -> bool:
        if self._length < 0:
            line = self._line(b"$:+-*" if self._answers and self._items else BULK)
            if line is None:
                return False
            if line[:1] != BULK or line == b"$-1":
                if not self._answers or not self._items or (line[:1] == ARRAY and line != b"*-1"):
                    raise Malformed("not a string")
                self._items.append(None)
                return True
            if self._answers and not self._items:
                self._length = self._number(line, MAX_STREAM)
                if self._length > MAX_VALUE:
                    self.large_remaining, self._length = self._length, 0
            else:
                self._length = self._number(line, MAX_VALUE)
            self._announced += self._length
            if self._announced > MAX_MESSAGE:
                raise Malformed("too much for one message")
        if self.large_remaining:
            return False
        if self._skipping:
            self._skip_string()
        end = self._position + self._length
        if len(self._data) < end + 2:
            return False
        if self._data[end : end + 2] != b"\r\n":
            raise Malformed("a length that does not fit")
        item = self._data[self._position : end]
        self._items.append(item if isinstance(item, bytes) else bytes(item))
        self._items_size += len(item)
        self._position, self._length = end + 2, -1
        return True

    def _skip_string(self) -> None:
        """Discard the bytes of the current string that have arrived: it is then shorter by these."""
        size = min(self._length, self.pending)
        self._position += size
        self._length -= size

    def _line(self, types: bytes) -> bytes | bytearray | None:
        """The next line, which must begin with one of these types; checked before its end has arrived."""
        data, position = self._data, self._position
        if position >= len(data):
            return None
        if data[position] not in types:
            raise Malformed("an unexpected type")
        max_length = MAX_HEADER if data[position] in b"$*" else MAX_ERROR_LINE
        end = data.find(b"\r\n", position, position + max_length)
        if end < 0:
            if len(data) - position >= max_length:
                raise Malformed("a line without an end")
            return None
        self._position = end + 2
        return data[position:end]

    @staticmethod
    def _number(line: bytes | bytearray, maximum: int) -> int:
        if not line[1:].isdigit() or (number := int(line[1:])) > maximum:
            raise Malformed("a count or length out of range")
        return number
