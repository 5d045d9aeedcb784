"""Servers that speak RESP2."""

from __future__ import annotations

from lynxreel.backends.load import Report
from lynxreel.backends.pools import Connection, End, Pool
from lynxreel.engine.engine import Attempt
from lynxreel.protocol import resp
from mothgap.interface import Result, Settings

ANSWER = 3  # items in an answer: the value, the figures on use, the load report


class Resp2:
    """What such servers are sent, and what their answers mean."""

    def __init__(self) -> None:
        self._report = Report(())

    def adopt(self, settings: Settings) -> None:
        """Go by these settings from now on."""
        self._report = Report(settings.report_fields)
        # How load reports begin in error lines; none where answers hold no reports.
        answers = not settings.report_by_probe
        self._reports = tuple(b"%b=" % name.encode() for name in settings.report_fields) if answers else ()

    def connection(self, pool: Pool) -> Connection:
        """A connection that has not come up yet."""
        return _Connection(pool, self)

    def end(self, answer: list[bytes | None] | bytes) -> End:
        """What an answer means."""
        if isinstance(answer, list):
            if len(answer) == ANSWER and answer[0] is not None:
                return End(Result.OK, answer[0], self._report.read(answer[2]))
            return End(Result.ERROR, known=False)
        known = {b"BUSY": Result.FULL, b"ERR failed": Result.ERROR}
        words, load = answer, None
        if answer not in known and self._reports:
            words, _, load = answer.rpartition(b" ")
            if not (load.startswith(self._reports) and b"=" in load):
                words = b""
        # Only an exact BUSY tells that it never ran; anything else may have.
        return End(known.get(words, Result.ERROR), load=self._report.read(load), known=words in known)


class _Connection(Connection):
    def __init__(self, pool: Pool, wire: Resp2) -> None:
        super().__init__(pool)
        self._wire = wire
        self._reader = resp.Reader(ANSWER, answers=True)

    def _request(self, attempt: Attempt, wait: int) -> bytes:
        return attempt.call.command(wait)

    def _answer(self, data: bytes) -> End | None:
        try:
            self._reader.feed(data)
            answer = self._reader.next()
            while self._reader.large:
                if self.stream is None and not self.begin(self._reader.large):
                    return End(Result.ERROR, known=False)
                piece = self._reader.piece()
                if self.stream is not None and piece:
                    self.stream.piece(piece)
                if self._reader.large or self.stream is None:
                    return None
                answer = self._reader.next()
        except resp.Malformed:
            return End(Result.ERROR, known=False)
        return None if answer is None else self._wire.end(answer)

    def _rest(self) -> bool:
        return self._reader.empty()
