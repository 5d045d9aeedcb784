"""Boxes and operator settings from etcd: does the I/O for `ListWatch`, `Keys` and `Membership`.

One task at a time lists or watches; these modules get what it receives, and decide what comes next. Values
are parsed in small batches, so that a list of thousands does not delay requests.
"""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

from lynxreel.etcd import listwatch as lw
from lynxreel.etcd import rpc_pb2 as pb
from lynxreel.etcd.client import FOLLOW_TIMEOUT, Client, Compacted, EtcdError, Options, Stream
from lynxreel.internal_errors import internal_errors
from lynxreel.log import log
from lynxreel.membership.core import Action, GuardMessage, Guards, Membership, Publish
from lynxreel.membership.keys import Keys

BATCH_SIZE = 50  # values that are parsed between two yields to the event loop
APPLY_INTERVAL = 0.02  # seconds between applications of changes, so that a burst is applied in a few steps
SettingsHandler = Callable[[int, dict[str, bytes]], Awaitable[None]]


@dataclass(frozen=True)
class EtcdList:
    """The cluster and key prefix, and the limits on changes that need no approval."""

    options: Options
    prefix: str
    settings: bool = False
    guards: Guards = Guards()

    def source(self, publish: Callable[[Publish], None], loop: asyncio.AbstractEventLoop) -> EtcdSource:
        """Start to follow the list."""
        return EtcdSource(self, publish, loop, Random(secrets.randbits(64)))


class EtcdSource:
    """Feeds a `Membership` from etcd, and passes on what it publishes."""

    def __init__(
        self,
        etcd_list: EtcdList,
        publish: Callable[[Publish], None],
        loop: asyncio.AbstractEventLoop,
        rng: Random,
    ) -> None:
        """Start to follow the list. Raises OSError if a TLS file can't be used."""
        self.ready = asyncio.Event()  # set once a full list has been applied, settings included
        self.on_settings: SettingsHandler | None = (
            None  # called on each change, with revision and all settings
        )
        self.membership = Membership(etcd_list.guards, loop.time())
        self.refused = ""  # the last error, until a success
        self.keys = Keys()
        self._etcd_list, self._publish, self._loop = etcd_list, publish, loop
        self._prefix = etcd_list.prefix.encode()
        self._client = Client(etcd_list.options)
        self.list_watch = lw.ListWatch(len(etcd_list.options.endpoints), rng)
        self._task: asyncio.Task[None] | None = None
        self._stream: Stream | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._unapplied: list[lw.Change] = []  # changes, until the next application
        self._applied_at = 0.0
        self._published_at = 0.0  # Unix time of the last publication to the engine
        self._settings_changed = asyncio.Event()
        self._settings_task = loop.create_task(self._pass_on_settings_loop())
        self._tick_task = loop.create_task(self._tick_membership())
        self._perform(self.list_watch.start(loop.time()))

    def _perform(self, actions: Sequence[lw.Action]) -> None:
        for action in actions:
            match action:
                case lw.List(endpoint=endpoint):
                    self._start_task(self._list(endpoint))
                case lw.Watch(endpoint=endpoint, revision=revision):
                    self._start_task(self._watch(endpoint, revision))
                case lw.RequestProgress():
                    self._loop.create_task(self._request_progress())
                case lw.Drop(endpoint=endpoint):
                    self._stop_task()
                    self._client.drop(endpoint)
                case lw.Snapshot(revision=revision, entries=entries):
                    self._apply_full_list(revision, entries)
                case lw.Changes(changes=changes):
                    self._add_changes(changes)
                case lw.Alive():
                    self.refused = ""
                    self._publish_actions(self.membership.source_alive(self._loop.time()))
                case lw.LogMessage(text=text):
                    self.refused = text
                    log(f"etcd: {text}")
        if self._timer is not None:
            self._timer.cancel()
        wait = max(0.0, self.list_watch.due() - self._loop.time())
        self._timer = self._loop.call_later(wait, self._tick)

    def _tick(self) -> None:
        self._perform(self.list_watch.tick(self._loop.time()))

    def _start_task(self, request: Any) -> None:
        self._stop_task()
        self._task = self._loop.create_task(self._run_guarded(request))

    def _stop_task(self) -> None:
        if self._task is not None and self._task is not asyncio.current_task():
            self._task.cancel()
        self._task, self._stream = None, None

    async def _run_guarded(self, request: Awaitable[None]) -> None:
        """Await `request`, and report to `ListWatch` whatever ends it."""
        try:
            await request
        except Compacted as error:
            self._if_current_task(lambda now: self.list_watch.compacted(now, -1), str(error))
        except EtcdError as error:
            why = str(error)
            self._if_current_task(lambda now: self.list_watch.failed(now, why), why)
        except asyncio.CancelledError:
            raise
        except Exception as error:  # an error within a library must not stop the source for good
            internal_errors.caught(error, "following etcd")
            why = f"internal error: {error!r}"
            self._if_current_task(lambda now: self.list_watch.failed(now, why), why)

    def _if_current_task(self, event: Callable[[float], list[lw.Action]], why: str) -> None:
        if self._task is asyncio.current_task():
            self._perform(event(self._loop.time()))

    # --- requests ---------------------------------------------------------------------------------------

    async def _list(self, endpoint: int) -> None:
        entries: list[lw.Entry] = []
        header: pb.ResponseHeader | None = None
        async for received, found in self._client.pages(endpoint, self._prefix, timeout=FOLLOW_TIMEOUT):
            header = header or received
            self.list_watch.page(self._loop.time())
            for start in range(0, len(found), BATCH_SIZE):
                entries += [self._entry(kv) for kv in found[start : start + BATCH_SIZE]]
                await asyncio.sleep(0)
        assert header is not None
        self._perform(self.list_watch.listed(self._loop.time(), _header(header), entries))

    async def _watch(self, endpoint: int, revision: int) -> None:
        async with self._client.watch(endpoint, self._prefix, revision) as stream:
            self._stream = stream
            this_task = asyncio.current_task()
            while self._task is this_task:
                answer = await stream.receive()
                now, header = self._loop.time(), _header(answer.header)
                if answer.canceled and answer.compact_revision:
                    self._perform(self.list_watch.compacted(now, answer.compact_revision))
                elif answer.canceled:
                    self._client.forget_token()  # it may have expired, which a stream reports in no other way
                    raise EtcdError(f"the watch was cancelled: {answer.cancel_reason}")
                elif answer.created:
                    self._perform(self.list_watch.created(now, header))
                elif not answer.events:
                    self._perform(self.list_watch.progress(now, header))
                else:
                    changes = [self._change(event) for event in answer.events]
                    self._perform(self.list_watch.changed(now, header, changes, answer.fragment))

    async def _request_progress(self) -> None:
        stream = self._stream
        if stream is not None:
            try:
                await stream.ask()
            except Exception as error:  # the watch fails for the same reason and reports it
                log(f"etcd: requesting progress failed: {error!r}")

    def _entry(self, kv: pb.KeyValue) -> lw.Entry:
        key = kv.key[len(self._prefix) :].decode("utf-8", "replace")
        return lw.Entry(key, Keys.parse(key, kv.value), kv.mod_revision, kv.lease)

    def _change(self, event: pb.Event) -> lw.Change:
        entry = self._entry(event.kv)
        deleted = event.type == pb.Event.DELETE
        return lw.Change(entry.key, event.kv.mod_revision, None if deleted else entry)

    # --- processing -------------------------------------------------------------------------------------

    def _apply_full_list(self, revision: int, entries: Sequence[lw.Entry]) -> None:
        self.refused = ""
        self._unapplied.clear()
        before = dict(self.keys.unreadable)
        boxes, settings = self.keys.apply_full_list(revision, entries)
        self._log_unreadable(before)
        self._publish_actions(self.membership.apply_full_list(self._loop.time(), revision, boxes))
        self._pass_on_settings(settings)

    def _add_changes(self, changes: Sequence[lw.Change]) -> None:
        """Apply changes at once, or after APPLY_INTERVAL with others if some have just been applied."""
        self.refused = ""
        self._unapplied += changes
        if len(self._unapplied) > len(changes):
            return  # the next application is already scheduled
        wait = self._applied_at + APPLY_INTERVAL - self._loop.time()
        if wait <= 0:
            self._apply()
        else:
            self._loop.call_later(wait, self._apply)

    def _apply(self) -> None:
        changes, self._unapplied = self._unapplied, []
        if not changes:
            return  # replaced by a full list in the meantime
        before = dict(self.keys.unreadable)
        put, deleted, settings = self.keys.apply_changes(changes)
        self._log_unreadable(before)
        now = self._loop.time()
        self._publish_actions(self.membership.apply_change(now, changes[-1].revision, put, deleted))
        self._applied_at = self._loop.time()
        self._pass_on_settings(settings)

    def _pass_on_settings(self, settings: bool) -> None:
        """Pass new settings on. The first boxes let the instance start, but only after its settings."""
        if self._etcd_list.settings and (settings or not self.ready.is_set()):
            self._settings_changed.set()
        elif self.membership.known:
            self.ready.set()

    def _log_unreadable(self, before: dict[str, str]) -> None:
        for box_id, why in self.keys.unreadable.items():
            if before.get(box_id) != why:
                log(f"etcd: {self._etcd_list.prefix}boxes/{box_id} is left out: {why}")

    def _publish_actions(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, GuardMessage):
                log(f"boxes: {action.guard}: {action.text}")
            else:
                self._publish(action)
                self._published_at = time.time()

    async def _pass_on_settings_loop(self) -> None:
        """Pass on changed settings, always all of them, one call at a time."""
        while True:
            await self._settings_changed.wait()
            self._settings_changed.clear()
            if self.on_settings is not None:
                await self.on_settings(self.keys.settings_revision, dict(self.keys.settings))
            if self.membership.known:
                self.ready.set()

    async def _tick_membership(self) -> None:
        while True:
            due = self.membership.due()
            wait = 1.0 if due is None else min(1.0, max(0.01, due - self._loop.time()))
            await asyncio.sleep(wait)
            self._publish_actions(self.membership.tick(self._loop.time()))

    def approve(self) -> None:
        """Apply the change that is held back for approval."""
        self._publish_actions(self.membership.approve(self._loop.time()))

    def view(self) -> dict[str, Any]:
        """Return the state of the source, for the operators."""
        host, port = self._etcd_list.options.endpoints[self.list_watch.endpoint]
        return {
            "source": "etcd", "endpoint": f"{host}:{port}", "phase": self.list_watch.phase.value,
            "refused": self.refused,
            "unreadable": dict(self.keys.unreadable), "leases": dict(self.keys.leases),
            "taken_at": self._published_at,
            "lists": self.list_watch.lists, "watches": self.list_watch.watches,
        }  # fmt: skip

    def close(self) -> None:
        """Stop following and close the connections."""
        self._stop_task()
        for task in (self._settings_task, self._tick_task):
            task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        self._client.close()


def _header(header: pb.ResponseHeader) -> lw.Header:
    return lw.Header(header.cluster_id, header.member_id, header.revision)
