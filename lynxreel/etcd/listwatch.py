"""List-then-watch state machine, without I/O: what to request of which endpoint, and how to use the answers.

All keys under a prefix are listed at one revision, and watched from the next one. The failures it handles:

- The stream breaks: it is opened again, at another endpoint if there is one, from the revision after the last
  one that was received in full. Nothing is listed again.
- That revision has been compacted: the missed changes are not available, so everything is listed again, and
  the receiver of the list works out the difference.
- The stream is open and silent: a progress notification is requested; no answer counts as a broken stream.
- A revision is split over several messages: it is buffered until the last of them.
- The revision goes backwards, or the cluster ID differs: a restored backup, or an endpoint that lags behind
  or belongs to another cluster. Everything is listed, at each endpoint in turn. An endpoint that continues
  from the known revision is accepted; a conflicting one is accepted once all endpoints conflict, or the
  others have been unreachable for `Times.conflict_timeout` seconds.
- All endpoints answer, but more slowly than the timeout: once each of them has timed out, all have longer.

Times are seconds on a monotonic clock. Retry delays are random, so that the instances of a fleet that lost
its etcd do not all come back at the same moment.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

from lynxreel.answer_timeout import AnswerTimeout
from lynxreel.backoff import Backoff


@dataclass(frozen=True, slots=True)
class Header:
    """Header of an answer: cluster and member IDs, and the revision of the member's store."""

    cluster: int
    member: int
    revision: int


@dataclass(frozen=True, slots=True)
class Entry:
    """The current state of one key. `value` is the parsed value, of any type."""

    key: str
    value: object
    revision: int  # revision of the key's last change
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Change:
    """A key was put, or deleted if `entry` is None."""

    key: str
    revision: int
    entry: Entry | None


@dataclass(frozen=True, slots=True)
class List:
    """Action: list all keys under the prefix, at this endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Action: open a watch stream at this endpoint, from this revision on."""

    endpoint: int
    revision: int


@dataclass(frozen=True, slots=True)
class RequestProgress:
    """Action: request a progress notification on the stream."""


@dataclass(frozen=True, slots=True)
class Drop:
    """Action: cancel the open list or stream, and close the connection to this endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Action: deliver all entries as of a revision, replacing the earlier ones."""

    revision: int
    entries: Sequence[Entry]


@dataclass(frozen=True, slots=True)
class Changes:
    """Action: deliver the changes of complete revisions, in order, up to this revision."""

    revision: int
    changes: Sequence[Change]


@dataclass(frozen=True, slots=True)
class Alive:
    """Action: note that the source has answered, with no changes to deliver."""


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Action: write this line to the log."""

    text: str


Action = List | Watch | RequestProgress | Drop | Snapshot | Changes | Alive | LogMessage


@dataclass(frozen=True)
class Times:
    """Timeouts and delays, in seconds."""

    answer_timeout: float = 3.0  # for a list page, for opening a stream, and for a progress notification...
    max_answer_timeout: float = 30.0  # ...and the most to which it grows if all endpoints are slower
    idle_timeout: float = 2.0  # silence of a stream after which its progress is requested
    retry_delay: float = 0.025  # mean retry delay; each consecutive failure doubles it...
    max_retry_delay: float = 1.0  # ...up to this
    conflict_timeout: float = 30.0  # how long a conflicting endpoint is refused if the others are unreachable
    max_list_delay: float = 0.2  # random delay after a compaction, so that a fleet's lists are spread


class Phase(Enum):
    """The current step."""

    RESTING = "resting"
    LISTING = "listing"
    OPENING = "opening"
    WATCHING = "watching"


class ListWatch:
    """Follows one prefix on behalf of one gateway."""

    def __init__(self, endpoints: int, rng: Random, times: Times = Times()) -> None:
        self.phase = Phase.RESTING
        self.endpoint = 0
        self.revision = -1  # all changes up to this one are known; -1: nothing listed yet
        self.lists = self.watches = 0  # number of lists and watch streams started so far
        self._endpoint_count, self._rng, self._times = endpoints, rng, times
        self._cluster = 0
        self._member_ids: dict[int, int] = {}  # member ID by endpoint
        self._list_next = True
        self._due = 0.0
        self._requested_at = 0.0  # when the answer that is waited for was requested
        self._answer_timeouts = [
            AnswerTimeout(times.answer_timeout, times.max_answer_timeout) for _ in range(endpoints)
        ]
        self._timeouts_in_a_row = 0
        self._progress_requested = False
        self._backoff = Backoff(times.retry_delay, times.max_retry_delay, rng)
        self._partial: list[Change] = []  # changes of a revision that is not complete yet
        self._conflicting: set[int] = set()  # endpoints that conflict with the known cluster or revision
        self._conflict_since = 0.0

    # --- events -----------------------------------------------------------------------------------------

    def start(self, now: float) -> list[Action]:
        """Start at a random endpoint, so that not all gateways use the same one."""
        self.endpoint = self._rng.randrange(self._endpoint_count)
        return self._continue(now)

    def page(self, now: float) -> None:
        """A page of a list arrived: restart the timeout."""
        self._answered(now)
        self._await_answer(now)

    def listed(self, now: float, header: Header, entries: Sequence[Entry]) -> list[Action]:
        """All pages of a list arrived, as of the header's revision."""
        if self._conflicts(header) and not self._may_accept(now):
            is_new = self.endpoint not in self._conflicting
            self._conflicting.add(self.endpoint)
            why = f"endpoint {self.endpoint} {self._conflict_text(header)}: the others are tried first"
            self._next_endpoint()
            waiting = self._rest(now, self._times.max_retry_delay, listing=True)
            return [LogMessage(why), *waiting] if is_new else waiting
        logged = []
        if self._conflicts(header):
            logged = [
                LogMessage(
                    f"{self._conflict_text(header)}: accepted, as no endpoint continues from the known state"
                )
            ]
        elif self._conflicting:
            logged = [
                LogMessage(f"endpoint {self.endpoint} continues from revision {self.revision}: accepted")
            ]
        self._conflicting.clear()
        self._cluster, self.revision = header.cluster, header.revision
        self._member_ids[self.endpoint] = header.member
        self._list_next = False
        return [*logged, Snapshot(header.revision, entries), *self._open(now)]

    def created(self, now: float, header: Header) -> list[Action]:
        """The stream is open. Lists instead if the store lags behind: the stream would stay silent."""
        if self._conflicts(header):
            return [LogMessage(f"endpoint {self.endpoint} {self._conflict_text(header)}"), *self._list(now)]
        if self._member_ids.get(self.endpoint, header.member) != header.member:
            return [LogMessage(f"endpoint {self.endpoint} is another member: listed anew"), *self._list(now)]
        self._member_ids[self.endpoint] = header.member
        self._answered(now)
        self.phase = Phase.WATCHING
        self._on_message(now)
        return [Alive()]

    def changed(self, now: float, header: Header, changes: Sequence[Change], more: bool) -> list[Action]:
        """A message of the stream; `more`: its last revision continues in the next message."""
        if self._conflicts(header):
            return [LogMessage(f"endpoint {self.endpoint} {self._conflict_text(header)}"), *self._list(now)]
        self._on_message(now)
        self._backoff.reset()
        self._partial += [change for change in changes if change.revision > self.revision]
        if more or not self._partial:
            return [Alive()]
        complete, self._partial = self._partial, []
        self.revision = complete[-1].revision
        return [Changes(self.revision, complete)]

    def progress(self, now: float, header: Header) -> list[Action]:
        """Progress notification: the stream has sent all changes up to the header's revision."""
        if self._conflicts(header):
            return [LogMessage(f"endpoint {self.endpoint} {self._conflict_text(header)}"), *self._list(now)]
        self._on_message(now)
        self._backoff.reset()
        if not self._partial:
            self.revision = max(self.revision, header.revision)
        return [Alive()]

    def compacted(self, now: float, at: int) -> list[Action]:
        """The changes after the last known revision were compacted, up to revision `at`: list again."""
        logged = LogMessage(
            f"revisions up to {at} are compacted, {self.revision} was the last known: listed anew"
        )
        wait = self._rng.uniform(0, self._times.max_list_delay)
        return [logged, *self._rest(now, wait, listing=True)]

    def failed(self, now: float, why: str) -> list[Action]:
        """The list or stream failed: continue at the next endpoint, after a delay."""
        logged = LogMessage(f"endpoint {self.endpoint}: {why}")
        drop = Drop(self.endpoint)
        self._next_endpoint()
        return [logged, drop, *self._rest(now, self._backoff.wait(), listing=self._list_next)]

    # --- time -------------------------------------------------------------------------------------------

    def due(self) -> float:
        """Return the time of the next `tick`."""
        return self._due

    def tick(self, now: float) -> list[Action]:
        """Handle a timeout or the end of a delay, if due."""
        if now < self._due:
            return []
        if self.phase is Phase.RESTING:
            return self._continue(now)
        if self.phase is Phase.WATCHING and not self._progress_requested:
            self._progress_requested = True
            self._await_answer(now)
            return [RequestProgress()]
        silent = f"{self.phase.value}, and no answer for {self._answer_timeouts[self.endpoint].seconds:g} s"
        self._timed_out()
        return self.failed(now, silent)

    # --- steps ------------------------------------------------------------------------------------------

    def _conflicts(self, header: Header) -> bool:
        return self.revision >= 0 and (header.cluster != self._cluster or header.revision < self.revision)

    def _may_accept(self, now: float) -> bool:
        """Whether an answer that conflicts with the known state may be accepted."""
        if not self._conflicting:
            self._conflict_since = now
        again = self.endpoint in self._conflicting
        return again and (
            len(self._conflicting) == self._endpoint_count
            or now - self._conflict_since >= self._times.conflict_timeout
        )

    def _conflict_text(self, header: Header) -> str:
        if header.cluster != self._cluster:
            return f"is of cluster {header.cluster:x}, not {self._cluster:x}"
        return f"is at revision {header.revision}, after {self.revision}"

    def _await_answer(self, now: float) -> None:
        """Wait for what has just been requested of the endpoint."""
        self._requested_at, self._due = now, now + self._answer_timeouts[self.endpoint].seconds

    def _answered(self, now: float) -> None:
        """The endpoint has answered what was requested."""
        self._timeouts_in_a_row = 0
        self._answer_timeouts[self.endpoint].answered(now - self._requested_at)

    def _timed_out(self) -> None:
        """The endpoint has not answered. Once none of them has, each gets longer: they may all be slow."""
        self._timeouts_in_a_row += 1
        if self._timeouts_in_a_row % self._endpoint_count == 0:
            for timeout in self._answer_timeouts:
                timeout.timed_out()

    def _on_message(self, now: float) -> None:
        if self._progress_requested:
            self._answered(now)
        self._progress_requested, self._due = False, now + self._times.idle_timeout

    def _next_endpoint(self) -> None:
        self.endpoint = (self.endpoint + 1) % self._endpoint_count

    def _rest(self, now: float, wait: float, listing: bool) -> list[Action]:
        self.phase, self._list_next, self._due = Phase.RESTING, listing, now + wait
        self._partial = []
        return []

    def _continue(self, now: float) -> list[Action]:
        return self._list(now) if self._list_next else self._open(now)

    def _list(self, now: float) -> list[Action]:
        self.phase, self._list_next = Phase.LISTING, True
        self._await_answer(now)
        self._partial = []
        self.lists += 1
        return [List(self.endpoint)]

    def _open(self, now: float) -> list[Action]:
        self.phase, self._progress_requested = Phase.OPENING, False
        self._await_answer(now)
        self.watches += 1
        return [Watch(self.endpoint, self.revision + 1)]
