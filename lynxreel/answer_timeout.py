"""A time-out for exchanges that are given up and made anew. No I/O; times are seconds.

A fixed time-out never lets an exchange succeed with a peer that is steadily slower. This one doubles with
each exchange that timed out, and follows the answers.
"""

from __future__ import annotations

MARGIN = 2.0  # by which the time-out exceeds the time that the last answer took


class AnswerTimeout:
    """How long to wait for an answer of one peer."""

    def __init__(self, least: float, most: float) -> None:
        """`least` and `most`: bounds of the time-out, in seconds."""
        self._least, self._most = least, most
        self.seconds = least

    def timed_out(self) -> None:
        """Wait longer from now on: there was no answer in time."""
        self.seconds = min(self._most, 2.0 * self.seconds)

    def answered(self, answer_time: float) -> None:
        """Adapt to an answer that took so many seconds."""
        self.seconds = min(self._most, max(self._least, MARGIN * answer_time))
