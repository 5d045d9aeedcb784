"""The reader of RESP: what is read, and that each length is judged before room is made for it."""

import pytest

from lynxreel.protocol.resp import MAX_ERROR_LINE, MAX_VALUE, Malformed, Reader, pack


def read(data: bytes, answers: bool, step: int) -> list[object]:
    reader = Reader(3, answers)
    messages: list[object] = []
    for at in range(0, len(data), step):
        reader.feed(data[at : at + step])
        while (message := reader.next()) is not None:
            messages.append(message)
    assert reader.empty()
    return messages


@pytest.mark.parametrize("step", [1, 2, 7, 10_000])
def test_messages_are_read_however_they_are_cut(step: int) -> None:
    words = [b"a\r\nb", b"", b"x" * 300]
    assert read(pack(words) + pack([b"PING"]), False, step) == [words, [b"PING"]]
    answer = b"*3\r\n$1\r\nv\r\n$-1\r\n*-1\r\n-BUSY\r\n*3\r\n$0\r\n\r\n:12\r\n+odd\r\n"
    assert read(answer, True, step) == [[b"v", None, None], b"BUSY", [b"", None, None]]


def test_a_string_in_many_pieces_is_not_joined_anew_at_each_and_commands_behind_it_are_read() -> None:
    reader, sent = Reader(3), bytes(range(256)) * 256
    data = b"*2\r\n$1\r\na\r\n$65536\r\n" + sent + b"\r\n"
    found, buffers = list[object](), set[int]()
    for _ in range(3):  # what is left behind one is the beginning of the next
        for at in range(0, len(data), 97):
            reader.feed(data[at : at + 97])
            buffers.add(id(reader._data))
            while (words := reader.next()) is not None:
                found.append(words)
    assert found == [[b"a", sent]] * 3
    assert len(buffers) < 20, "the buffer was made anew"
    assert reader.empty()


def test_only_the_first_string_of_an_answer_may_be_large_and_it_comes_in_pieces() -> None:
    command = Reader(3)
    command.feed(b"*1\r\n$65537\r\n")
    with pytest.raises(Malformed):
        command.next()
    answer = Reader(3, True)
    answer.feed(b"*2\r\n$65537\r\nabc")
    assert (answer.next(), answer.large_remaining, answer.read_piece(), answer.large_remaining) == (
        None,
        65_537,
        b"abc",
        65_534,
    )
    answer.feed(b"x" * 65_534 + b"\r\n$1\r\ny")
    assert (len(answer.read_piece()), answer.large_remaining, answer.next()) == (65_534, 0, None)
    answer.feed(b"\r\n")
    assert (answer.next(), answer.empty()) == ([b"", b"y"], True)
    answer.feed(b"*2\r\n$1\r\nx\r\n$65537\r\n")
    with pytest.raises(Malformed):
        answer.next()


@pytest.mark.parametrize("answers", [False, True])
@pytest.mark.parametrize(
    "data",
    [
        b"h",
        b":1\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*4\r\n",
        b"*+1\r\n",
        b"* 1\r\n",
        b"*1_0\r\n",
        b"*\r\n",
        b"*1\r\n:",
        b"*1\r\n$-1\r\n",
        b"*1\r\n*1\r\n",
        b"*2\r\n$1\r\nx\r\n*1\r\n",
        b"*1\r\n$x\r\n",
        b"*1\r\n$4194305\r\n",
        b"*1\r\n$3000000000\r\n",
        b"*1\r\n$-3\r\n",
        b"*99999999999999999",
        b"*2\r\n$65536\r\n" + b"x" * MAX_VALUE + b"\r\n$65536\r\n",
        b"*1\r\n$1\r\nxyz",
        b"*1\r\n$1\r\nx\r\n*1000000000\r\n",
    ],
)
def test_what_is_no_message_is_judged_at_its_first_line(data: bytes, answers: bool) -> None:
    # Guards memory: none of these waits for what it announces, or for the end of its line.
    reader = Reader(3, answers)
    reader.feed(data)
    with pytest.raises(Malformed):
        while reader.next() is not None:
            pass


def test_an_error_line_without_an_end_is_judged_at_its_bound() -> None:
    reader = Reader(3, answers=True)
    reader.feed(b"-" + b"x" * (MAX_ERROR_LINE - 2))
    assert reader.next() is None
    reader.feed(b"x")
    with pytest.raises(Malformed):
        reader.next()
