"""Servers that speak RESP2."""

from __future__ import annotations

from lynxreel.backends.load import LoadReport
from lynxreel.backends.pools import AnswerOutcome, Connection, Pool
from lynxreel.engine.engine import Attempt
from lynxreel.protocol import resp
from mothgap.interface import Result, Settings

LINE_END = b"\r\n"  # follows a value
ANSWER_ITEMS = 3  # items in an answer: the value, usage figures, the load report


class Resp2:
    """Encodes requests for such servers, and interprets their answers."""

    def __init__(self) -> None:
        self._load_report = LoadReport(())

    def apply_settings(self, settings: Settings) -> None:
        """Use these settings from now on."""
        self._load_report = LoadReport(settings.report_fields)
        # The prefixes of load reports in error lines; none if answers carry no reports.
        in_answers = not settings.report_by_probe
        self._report_prefixes = (
            tuple(b"%b=" % name.encode() for name in settings.report_fields) if in_answers else ()
        )

    def connection(self, pool: Pool) -> Connection:
        """A new connection, not established yet."""
        return _Connection(pool, self)

    def interpret(self, answer: list[bytes | None] | bytes) -> AnswerOutcome:
        """The outcome of an answer: an array, or an error line without its first byte."""
        if isinstance(answer, list):
            if len(answer) == ANSWER_ITEMS and answer[0] is not None:
                return AnswerOutcome(Result.OK, answer[0], self._load_report.read(answer[2]))
            return AnswerOutcome(Result.ERROR, valid=False)
        known = {b"BUSY": Result.FULL, b"ERR failed": Result.ERROR}
        text, load = answer, None
        if answer not in known and self._report_prefixes:
            text, _, load = answer.rpartition(b" ")
            if not (load.startswith(self._report_prefixes) and b"=" in load):
                text = b""
        # Only an exact BUSY proves that the request did not run; with any other answer it may have.
        return AnswerOutcome(
            known.get(text, Result.ERROR), load=self._load_report.read(load), valid=text in known
        )


class _Connection(Connection):
    def __init__(self, pool: Pool, wire: Resp2) -> None:
        super().__init__(pool)
        self._wire = wire
        self._reader = resp.Reader(ANSWER_ITEMS, answers=True)

    def _encode_request(self, attempt: Attempt, wait: int) -> bytes:
        return attempt.call.command(wait)

    def _parse_answer(self, data: bytes) -> AnswerOutcome | None:
        try:
            self._reader.feed(data)
            answer = self._reader.next()
            while self._reader.large_remaining:
                if self.stream is None and not self.begin_stream(self._reader.large_remaining):
                    return AnswerOutcome(Result.ERROR, valid=False)
                piece = self._reader.read_piece()
                if self.stream is not None and piece:
                    self.stream.feed(piece)
                if self._reader.large_remaining or self.stream is None:
                    return None
                answer = self._reader.next()
        except resp.Malformed:
            return AnswerOutcome(Result.ERROR, valid=False)
        return None if answer is None else self._wire.interpret(answer)

    def _missing(self) -> int:
        return self._reader.large_remaining + len(LINE_END)

    def _is_at_end(self) -> bool:
        return self._reader.empty()
