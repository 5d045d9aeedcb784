"""One bounded reader of RESP2, for clients' commands and servers' answers, and its writer.

A library's reader makes room for whatever length is announced, before the bytes are there. Here each type,
count and length is judged when its line is whole, so that no peer makes the gateway hold more than a message.
"""

from __future__ import annotations

MOST_VALUE = 64 * 1024  # bytes in a string
MOST_STREAM = 4 * 1024 * 1024  # bytes in an answer's value, where that is passed on as it comes
MOST_MESSAGE = MOST_VALUE + 4 * 1024  # bytes in all strings of a message: one value and what goes with it
MOST_HEADER = 16  # bytes in the line of a count or a length
MOST_LINE = 512  # bytes in an error line
BULK, ARRAY, ERROR = b"$", b"*", b"-"


class Malformed(ValueError):
    """What came is no message, or none that may come here; what follows it can't be told apart."""


def pack(words: list[bytes]) -> bytes:
    """A command, or any array of strings."""
    return b"*%d\r\n%b" % (len(words), b"".join([b"$%d\r\n%b\r\n" % (len(word), word) for word in words]))


class Reader:
    """Reads flat arrays of strings; where they are answers, also error lines, and items that are no strings.

    An item that is whole but no string (null, a number, a line) is given as None. An answer's first string
    may be larger than a message: `large` is then what is missing of it, `piece` gives it as it comes, and in
    the array it is empty.
    """

    __slots__ = ("_answers", "_at", "_bytes", "_data", "_items", "_length", "_missing", "_most", "large")

    def __init__(self, most: int, answers: bool = False) -> None:
        self._most, self._answers = most, answers
        self._data: bytes | bytearray = b""  # what has come
        self._at = 0  # how much of that has been read
        self._items: list[bytes | None] = []
        self._missing = 0  # items of the array at hand that have not come
        self._length = -1  # of the string at hand; -1 before it is known
        self._bytes = 0  # announced for the array at hand
        self.large = 0

    def feed(self, data: bytes) -> None:
        """Take what has come."""
        if self._at >= len(self._data):
            self._data, self._at = data, 0
            return
        # Added to where it is: joined anew, a string in many pieces would cost its length for each of them.
        if isinstance(self._data, bytes):
            self._data, self._at = bytearray(self._data[self._at :]), 0
        elif self._at > MOST_VALUE:
            del self._data[: self._at]
            self._at = 0
        self._data += data

    def empty(self) -> bool:
        """True between messages, with nothing behind the last."""
        return self._at >= len(self._data) and not self._missing

    def piece(self) -> bytes:
        """What has come of the large string, and takes it away from what is missing of it."""
        piece = bytes(self._data[self._at : self._at + self.large])
        self._at += len(piece)
        self.large -= len(piece)
        return piece

    def next(self) -> list[bytes | None] | bytes | None:
        """The next message: an array, or an error line without its first byte; None until more has come."""
        if not self._missing:
            line = self._line(ARRAY + ERROR if self._answers else ARRAY)
            if line is None:
                return None
            if line[:1] == ERROR:
                return bytes(line[1:])
            self._missing = self._number(line, self._most)
            if not self._missing:
                raise Malformed("an array of nothing")
            self._items, self._bytes = [], 0
        while self._missing:
            if not self._item():
                return None
            self._missing -= 1
        return self._items

    def _item(self) -> bool:
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
                self._length = self._number(line, MOST_STREAM)
                if self._length > MOST_VALUE:
                    self.large, self._length = self._length, 0
            else:
                self._length = self._number(line, MOST_VALUE)
            self._bytes += self._length
            if self._bytes > MOST_MESSAGE:
                raise Malformed("too much for one message")
        if self.large:
            return False
        end = self._at + self._length
        if len(self._data) < end + 2:
            return False
        if self._data[end : end + 2] != b"\r\n":
            raise Malformed("a length that does not fit")
        item = self._data[self._at : end]
        self._items.append(item if isinstance(item, bytes) else bytes(item))
        self._at, self._length = end + 2, -1
        return True

    def _line(self, types: bytes) -> bytes | bytearray | None:
        """A line that begins with one of these types; judged before its end has come."""
        data, at = self._data, self._at
        if at >= len(data):
            return None
        if data[at] not in types:
            raise Malformed("an unexpected type")
        most = MOST_HEADER if data[at] in b"$*" else MOST_LINE
        end = data.find(b"\r\n", at, at + most)
        if end < 0:
            if len(data) - at >= most:
                raise Malformed("a line without an end")
            return None
        self._at = end + 2
        return data[at:end]

    @staticmethod
    def _number(line: bytes | bytearray, most: int) -> int:
        if not line[1:].isdigit() or (number := int(line[1:])) > most:
            raise Malformed("a count or length out of range")
        return number
