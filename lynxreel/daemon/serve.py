"""One instance as a daemon: the shell round its life, its node, its place, its records and its manager."""

from __future__ import annotations

import asyncio
import os
import resource
import secrets
import signal
import socket
import time
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING, Any

import uvloop

from lynxreel import __version__
from lynxreel.config.deploy import changes, deploy, fixed, for_worker
from lynxreel.config.model import OperatorFile
from lynxreel.config.overlay import overlay
from lynxreel.config.read import ConfigError, read
from lynxreel.daemon.clock_memory import remembered_clock
from lynxreel.daemon.codes import ADDRESS, ADDRESS_TAKEN, BAD_CONFIG, INNER_FAULT, OK, PLACE_TAKEN
from lynxreel.daemon.instance import Instance
from lynxreel.daemon.lifecycle import Ask, Do, Life, ShutdownTimes, State
from lynxreel.daemon.notify import Notifier
from lynxreel.daemon.place import Place, Taken
from lynxreel.fronts.listeners import ListenerFactory, OwnListenerFactory, systemd_listeners
from lynxreel.fronts.resp2 import FIRST_COMMAND_TIMEOUT
from lynxreel.engine.claims import CLAIMS_FILE, Claims
from lynxreel.internal_errors import internal_errors
from lynxreel.jsonlines import Commands, listen
from lynxreel.log import log
from lynxreel.node import Deployment, Node
from lynxreel.protocol.address import Address, read_address
from lynxreel.records.tally import Tally
from lynxreel.records.writer import Writer

if TYPE_CHECKING:
    from lynxreel.workers.worker import Leash, Post

SIGNALS = {
    signal.SIGHUP: Ask.RELOAD, signal.SIGUSR1: Ask.LEAVE,
    signal.SIGTERM: Ask.STOP, signal.SIGINT: Ask.STOP,
}  # fmt: skip
LOOK = 0.02  # seconds between looks whether the loop has stood still
LAST_ANSWERS = 0.35  # seconds before the cut-off by which everything is answered, and so can be read
QUIET_SPANS = 10  # spans of records with nothing to tell after which a line is written all the same


class Daemon(Instance):
    """Runs one instance by its operator file until it has stopped."""

    def __init__(
        self,
        path: Path,
        file: OperatorFile,
        deployment: Deployment,
        place: Place,
        given: Mapping[Address, socket.socket] | None = None,
        post: Post | None = None,
    ) -> None:
        """`given`: listeners of a service manager; `post`: what a supervisor's worker is started with."""
        super().__init__(Life(shutdown_times(file)), asyncio.get_running_loop())
        self._path, self._file, self._place, self._post = path, file, place, post
        self.announce = file.drain.announce_ms / 1e3
        self._notifier = Notifier()
        doors: ListenerFactory = OwnListenerFactory(self.loop, given)
        self._leash: Leash | None = None
        if post is not None:
            from lynxreel.workers.worker import Leash, SharedDoors  # here: only under a supervisor

            doors = shared = SharedDoors(post, self.loop)
            self._leash = Leash(post, shared, self.loop, self._door, self._leaving, self._orphaned)
        # Workers go by one clock: it lies in the folder of their supervisor.
        clock = remembered_clock(place.folder if post is None else place.folder.parent)
        self.node = Node(deployment, secrets.randbits(64), None, self.loop, clock, doors)
        if post is not None:
            shared.count = lambda: self.node.connections
            self.node.hold(False)  # until its door opens: another one may hold it still
            if deployment.takeover is None:  # which decides itself what may be sent again
                self.node.engine.claims = Claims(place.folder.parent / CLAIMS_FILE)
        self._tally = self.node.engine.tally = Tally()
        self._writer: Writer | None = None
        if file.records is not None:
            most = int(file.records.most_mb * 1e6)
            self._writer = Writer(file.records.file, most, file.gateway.name)
        for noted in (self.node.cover, self.node.zones):
            if noted is not None:
                noted.note = self._record
        self._started_at = time.time()
        self._reloads, self._reload_problems = 0, list[str]()
        self._left = 0
        self._address_goes = True  # when this instance ends, nobody else serves where it did
        self._quiet = 0
        self._stood = 0.0  # seconds that the loop stood still at the worst, since it was last recorded
        self._queries: asyncio.Server | None = None
        self._adopting = asyncio.Lock()  # a reload and settings from a source take turns
        self._settings: dict[str, bytes] = {}  # in force, by key
        self._settings_revision, self._settings_problems = 0, list[str]()
        self._own = file  # as read, without a source's settings
        if not isinstance(deployment.discovery, tuple) and hasattr(self.node.source, "on_settings"):
            self.node.source.on_settings = self._settle

    async def run(self) -> int:
        """Serve until asked to end; the exit code."""
        for number, ask in SIGNALS.items():
            self.loop.add_signal_handler(number, self.ask, ask)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, set(SIGNALS))
        self._tell()
        await self._listen_for_queries()
        self.later(self._count())
        self.later(self._watch_loop())
        if self._notifier.watchdog is not None:
            self.later(self._show_life(self._notifier.watchdog))
        if self._leash is not None:
            self.later(self._leash.beat())
        try:
            if self._file.operations is not None:
                await self.take_calls(read_address(self._file.operations.listen))
            await self.live(self._start())
        except OSError as wrong:
            log(f"can't listen: {wrong}")
            return ADDRESS_TAKEN if wrong.errno in ADDRESS else INNER_FAULT
        finally:
            signal.pthread_sigmask(signal.SIG_BLOCK, set(SIGNALS))
            if self._queries is not None:
                self._queries.close()
            self.node.close()
            if self._leash is not None:
                self._leash.close()
            if self._writer is not None:
                self._writer.close()
        return OK

    async def _listen_for_queries(self) -> None:
        """Answer tools on a socket in the folder; without it all else works."""
        path = self._place.queries
        try:
            path.unlink(missing_ok=True)  # of one that died: the lock is ours
            answers: Commands = {"customer": self._customer, "boxes": self._boxes, "approve": self._approve}
            answers |= {"call": lambda asked: self.call(str(asked["line"]).encode()).decode().strip()}
            if (cover := self.node.cover) is not None:
                answers["work"] = lambda asked: cover.status_with_requests()
            if (zones := self.node.zones) is not None:
                answers["zones"] = lambda asked: zones.told()
                answers["zone"] = lambda asked: zones.order(asked["zone"], asked["order"], asked["dry"])
            self._queries, _ = await listen(answers, str(path))
        except OSError as wrong:
            log(f"queries can't be answered, serving goes on: {path}: {wrong}")

    def _customer(self, asked: dict[str, Any]) -> dict[str, Any]:
        """What this instance believes of a customer and of its count."""
        guard, name = self.node.guard, int(asked["name"])
        count = guard.describe(name) if guard is not None else {}
        return {"customer": self.node.engine.customer_usage(int(asked["customer"])), "count": count}

    def _boxes(self, asked: dict[str, Any]) -> Any:
        """What this instance believes of its boxes and why."""
        return self.node.boxes()

    def _approve(self, asked: dict[str, Any]) -> Any:
        """The operator's second word for what is held."""
        held = self.node.approve()
        if held:
            log(f"approved: {held}")
        return held

    async def _start(self) -> None:
        """Take clients once the servers are known: before that every answer would be a refusal."""
        waiting = self.loop.call_later(1.0, log, "waiting for the first list of servers")
        if self._leash is None:
            await self.node.start(None)
        else:
            await self.node.join()
            await self.node.warm(None)
            self._leash.ready()
        waiting.cancel()
        self._record("started", {"listen": list(self._file.gateway.listen)})
        self.started()

    async def _door(self, opened: bool) -> None:
        """The supervisor's word: take connections and hold a share of ceilings, or do neither."""
        if opened:
            await self.node.warm(None)  # before that every answer would be a refusal
            self.node.hold(True)
            await self.node.open()
        else:
            await self.node.shut()
            self.node.hold(False)

    def _leaving(self, address_goes: bool) -> None:
        """The supervisor's word on what a drain of this instance means to clients."""
        self._address_goes = address_goes
        self.node.clients.leaving = address_goes

    def _orphaned(self) -> None:
        """The supervisor has ended. Another one may start workers of the same numbers at any time."""
        log("the supervisor has ended: draining")
        self.node.hold(False)
        self.ask(Ask.LEAVE)

    # --- what the life says -----------------------------------------------------------------------------

    def do(self, do: Do) -> None:
        """Carry out what is the daemon's own."""
        match do:
            case Do.TELL:
                self._tell()
            case Do.RELOAD:
                self._notifier.reloading()
                self.later(self._reload())
            case Do.SAY_LEAVING:
                # Where others go on at this address, whoever pings is not to leave it for this one's end.
                self.node.clients.leaving = self._address_goes
                self._notifier.stopping(self.life.state.value)
                if self.life.state is State.LEAVING:
                    self._record("leaving")
            case Do.CLOSE:
                log(f"draining: {self.node.connections} connections are open")
                self._record("draining", {"connections": self.node.connections})
            case Do.SET_ASIDE:
                self._record("drained", {"connections": self.node.connections})
            case Do.TAKE_BACK:
                self._record("undrained")
            case Do.CUT_OFF:
                self._left = self.node.connections
                if self._left:
                    log(f"the drain's time is up: {self._left} connections are cut off")
            case Do.EXIT:
                self._write_counts(True)
                report = self.node.shutdown
                counts = report.counts() if report is not None else {}
                self._record("stopped", {"left": self._left, **counts})
                self._write_state()

    async def _reload(self) -> None:
        """Take the file as it stands now, whole or not at all."""
        try:
            async with self._adopting:
                own = read_own(self._path, self._post)
                file = overlay(own, self._settings, self._prefix()) if self._settings else own
                lines = await self._adopt(file, f"{self._path}: ")
                self._own = own
        except ConfigError as wrong:
            self._reloaded(wrong.problems, [])
        except OSError as wrong:
            self._reloaded([f"{self._path}: gateway.listen: {wrong}"], [])
        except Exception as wrong:  # a reload that never ends would keep the instance from ever stopping
            internal_errors.caught(wrong, "a reload")
            self._reloaded([f"internal error: {wrong!r}"], [])
        else:
            self._reloaded([], lines)

    async def _adopt(self, file: OperatorFile, where: str) -> list[str]:
        """Go by another file, whole; what changed. Raises ConfigError or OSError with nothing changed."""
        if problems := fixed(self._file, file, self.life.state is State.STARTING):
            raise ConfigError([f"{where}{problem}" for problem in problems])
        fit_sockets(file)
        lines = changes(self._file, file)
        # In a thread: a large description takes its time, and requests go on meanwhile.
        deployment = await self.loop.run_in_executor(None, deploy, file, self.node.deployment)
        await self.node.adopt(deployment)
        self._file = file
        self.life.times = shutdown_times(file)
        self.announce = file.drain.announce_ms / 1e3
        return lines

    def _prefix(self) -> str:
        """What stands before a key of the source of settings."""
        return self._file.boxes.etcd.prefix if self._file.boxes.etcd is not None else ""

    async def _settle(self, revision: int, values: dict[str, bytes]) -> None:
        """Take a source's settings, all of them or none."""
        if values == self._settings:
            self._settings_problems = []  # what was refused has been taken back
            return
        try:
            async with self._adopting:
                lines = await self._adopt(overlay(self._own, values, self._prefix()), "")
        except ConfigError as wrong:
            problems = wrong.problems
        except Exception as wrong:  # settings that can't be taken must not end the following of the source
            internal_errors.caught(wrong, "settings from a source")
            problems = [f"internal error: {wrong!r}"]
        else:
            self._settings, self._settings_revision, problems = values, revision, []
        self._settings_problems = problems
        for text in problems or lines or ["no change"]:
            refused = f"settings of revision {revision} refused, the old ones stay"
            log(f"{refused}: {text}" if problems else f"settings of revision {revision}: {text}")
        self._record("settings", {"ok": not problems, "revision": revision, "lines": problems or lines})
        self._write_state()

    def _reloaded(self, problems: list[str], lines: list[str]) -> None:
        self._reloads += 1
        self._reload_problems = problems
        for line in problems or lines or ["no change"]:
            log(f"reload refused, the old settings stay: {line}" if problems else f"reload: {line}")
        self._record("reload", {"ok": not problems, "lines": problems or lines})
        if self.life.state is State.READY:
            self._notifier.ready(self.life.state.value)
        if self._leash is not None:
            self._leash.reloaded(problems)
        self.reloaded()

    # --- what others see --------------------------------------------------------------------------------

    def _tell(self) -> None:
        """The state file, and the service manager."""
        state = self.life.state
        if state is State.READY and not self.life.reloading:
            self._notifier.ready(state.value)
        self._write_state()

    def _write_state(self) -> None:
        told: dict[str, Any] = {
            "state": "reloading" if self.life.reloading else self.life.state.value,
            "pid": os.getpid(),
            "name": self._file.gateway.name,
            "version": __version__,
            "config": str(self._path),
            "started_at": self._started_at,
            "at": time.time(),
            "listen": [f"{host}:{port}" for host, port in self.node.clients.addresses],
            "http": [f"{host}:{port}" for host, port in self.node.web.addresses] if self.node.web else [],
            "connections": self.node.connections,
            "owed": self.node.engine.pending_requests(),
            "reloads": self._reloads,
            "reload_problems": self._reload_problems,
            "totals": dict(self._tally.totals),
            "records_missed": self._writer.missed if self._writer is not None else 0,
            "left": self._left,
            "stood_ms": round(self._stood * 1e3),
            "internal_errors": internal_errors.count,
            "fleet": {"gateways": (seen := self._file.view).gateways, "before": seen.before},
        }
        if (guard := self.node.guard) is not None:
            told["counter"] = guard.status()
        if self.node.cover is not None:
            told["takeover"] = self.node.cover.status()
        if self.node.zones is not None:
            told["zones"] = self.node.zones.told()
        if self._file.boxes.etcd is not None:
            told["settings"] = {"revision": self._settings_revision, "problems": self._settings_problems}
        try:
            self._place.write(told)
        except OSError as wrong:
            log(f"the state file can't be written, serving goes on: {wrong}")

    def _record(self, kind: str, content: dict[str, Any] | None = None) -> None:
        if self._writer is not None:
            self._writer.write(kind, content)

    async def _watch_loop(self) -> None:
        """See for how long nothing was done: what was due then was late."""
        while True:
            due = self.loop.time() + LOOK
            await asyncio.sleep(LOOK)
            self._stood = max(self._stood, self.loop.time() - due)

    async def _count(self) -> None:
        """Write down what was counted, again and again."""
        while True:
            every = self._file.records.every_ms / 1e3 if self._file.records is not None else 1.0
            await asyncio.sleep(every)
            is_recorded = self._write_counts(False)
            self._write_state()
            if is_recorded or self._writer is None:
                self._stood = 0.0

    def _write_counts(self, last: bool) -> bool:
        """Record what was counted; false where nothing was, and it is left for the next time."""
        names = self.node.deployment.places
        classes, plans = ({number: name for name, number in places.items()} for places in names)
        content = self._tally.read(classes, plans)
        self._quiet = 0 if content else self._quiet + 1
        if not (content or self._quiet >= QUIET_SPANS or last):
            return False
        self._quiet = 0
        owed, connections = self.node.engine.pending_requests(), self.node.connections
        counts = {"counts": [], "causes": {}, **content, "owed": owed, "connections": connections}
        counts["stood_ms"] = round(self._stood * 1e3)
        counts["internal_errors"] = internal_errors.count
        if self.node.cover is not None:
            counts["work"] = self.node.cover.counts_since_last()
        self._record("counts", counts)
        return True

    async def _show_life(self, every: float) -> None:
        while True:
            self._notifier.alive()
            await asyncio.sleep(every)


def shutdown_times(file: OperatorFile) -> ShutdownTimes:
    """What the operator file says of a shutdown, and how much of that is kept for the last answers."""
    drain = file.drain
    accept, announce, cut_off = drain.accept_ms / 1e3, drain.announce_ms / 1e3, drain.deadline_ms / 1e3
    return ShutdownTimes(
        accept, max(announce, FIRST_COMMAND_TIMEOUT), max(cut_off / 2, cut_off - LAST_ANSWERS), cut_off
    )


def fit_sockets(file: OperatorFile) -> None:
    """Raise this process's limit on descriptors to what the file names, or raise ConfigError."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = file.limits.sockets
    if most > soft:
        if hard != resource.RLIM_INFINITY and most > hard:
            raise ConfigError([f"limits.sockets: is {most}; mend: the system allows this process {hard}"])
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))


def read_own(path: Path, post: Post | None) -> OperatorFile:
    """The operator file, or what it says for one worker."""
    file = read(path)
    return file if post is None else for_worker(file, post.slot, post.side)


def serve(path: Path, post: Post | None = None, take_over: bool = False) -> int:
    """Run what the operator file describes, an instance or its workers; the exit code tells how it ended."""
    # A signal that comes before there is anything to act on waits: its default would end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, set(SIGNALS))
    try:
        file = read_own(path, post)
        deployment = deploy(file)
        fit_sockets(file)
        if post is None and file.gateway.workers:
            from lynxreel.workers.supervisor import supervise  # here: only where it is configured

            return supervise(path, file, take_over)
        given = systemd_listeners() if post is None else {}
    except (ConfigError, ValueError) as wrong:
        for problem in wrong.problems if isinstance(wrong, ConfigError) else [f"LISTEN_FDS: {wrong}"]:
            log(problem)
        return BAD_CONFIG
    place = Place(file.state.folder)
    try:
        place.take()
    except Taken as taken:
        log(str(taken))
        return PLACE_TAKEN
    except OSError as wrong:
        log(f"{path}: state.folder: can't be used: {wrong}")
        return BAD_CONFIG

    async def run() -> int:
        return await Daemon(path, file, deployment, place, given, post).run()

    try:
        return uvloop.run(run())
    except Exception as wrong:  # whoever started it must be able to tell this from a wrong file
        if isinstance(wrong, OSError):  # what the system refuses is no fault of its own
            log(f"this instance ends: {wrong}")
        else:
            internal_errors.caught(wrong, "this instance, which ends")
        with suppress(OSError):
            place.write({"state": "stopped", "pid": os.getpid(), "fault": repr(wrong)})
        return INNER_FAULT
    finally:
        place.leave()
