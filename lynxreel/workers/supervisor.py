"""A supervisor as a process: it holds the listeners, starts workers, and passes the listeners on.

It does no request work. What it decides is in `supervision.py` and `handover.py`; this is their shell.
"""

from __future__ import annotations

import asyncio
import errno
import os
import signal
import socket
import sys
import time
from collections.abc import Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any

import uvloop

from lynxreel import __version__
from lynxreel.config.deploy import changes, fixed
from lynxreel.config.model import SIDES, OperatorFile
from lynxreel.config.read import ConfigError, read
from lynxreel.daemon.codes import ADDRESS, ADDRESS_TAKEN, BAD_CONFIG, INNER_FAULT, OK, PLACE_TAKEN
from lynxreel.daemon.notify import Notifier
from lynxreel.daemon.place import Place, Taken
from lynxreel.fronts.listeners import BACKLOG, systemd_listeners, listener_from_descriptor
from lynxreel.internal_errors import internal_errors
from lynxreel.log import log
from lynxreel.protocol.address import Address, read_address
from lynxreel.workers import handover, supervision
from lynxreel.workers.board import Board
from lynxreel.workers.channel import MOST_DESCRIPTORS, Channel, Message, pair
from lynxreel.workers.handover import Act, Do, Giving, Got, Heard, Taking, Way
from lynxreel.workers.supervision import (
    Ask,
    Done,
    Exit,
    Phase,
    Say,
    Send,
    Signal,
    Start,
    Supervision,
    Unlisten,
)
from lynxreel.workers.worker import Post

SIGNALS = {
    signal.SIGHUP: Ask.RELOAD, signal.SIGUSR1: Ask.DRAIN,
    signal.SIGTERM: Ask.STOP, signal.SIGINT: Ask.STOP,
}  # fmt: skip
SENT = {
    Signal.RELOAD: signal.SIGHUP, Signal.DRAIN: signal.SIGUSR1,
    Signal.STOP: signal.SIGTERM, Signal.KILL: signal.SIGKILL,
}  # fmt: skip
TOLD = 0.5  # seconds between writes of the state file
BIND_TRIES, BIND_PAUSE = 40, 0.05  # workers of a supervisor that died hold its listeners for a moment


class _Process:
    """One worker's process, and the channel to it."""

    def __init__(self, process: asyncio.subprocess.Process, channel: Channel, folder: str) -> None:
        self.process, self.channel, self.folder = process, channel, folder
        self.shut = True


class Supervisor:
    """Runs the workers until all have ended."""

    def __init__(
        self, path: Path, file: OperatorFile, place: Place, given: dict[Address, socket.socket]
    ) -> None:
        """`given`: listeners that a service manager has handed in."""
        self._path, self._file, self._place = path, file, place
        self._loop = asyncio.get_running_loop()
        self._notifier = Notifier()
        self._listeners = given
        gateway, figures, drain = file.gateway, file.supervisor, file.drain
        self._rows = gateway.workers
        stop = (drain.accept_ms + drain.deadline_ms) / 1e3
        self._supervision = Supervision(
            supervision.Terms(
                gateway.workers,
                figures.watchdog_ms / 1e3,
                figures.quick_ms / 1e3,
                figures.pause_ms / 1e3,
                figures.most_pause_ms / 1e3,
                figures.give_up,
                stop,
            )
        )
        self._giving = Giving(figures.handover_ms / 1e3, figures.moment_ms / 1e3)
        self._taking: Taking | None = None
        self._board = Board.new(self._rows)
        self._processes: dict[int, _Process] = {}
        self._side = SIDES[0]
        self._opened = False  # workers are to have open doors
        self._old: Channel | None = None  # the supervisor that this one takes over from
        self._peer: Channel | None = None  # the one that takes over from this one
        self._door: socket.socket | None = None  # where one that wants to take over comes
        self._reload_heard = False  # in the middle of taking over
        self._reloads, self._problems = 0, list[str]()
        self._ended: asyncio.Future[int] = self._loop.create_future()
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._started_at = time.time()
        self._owner = False  # the folder is this one's

    # --- its own life -----------------------------------------------------------------------------------

    async def run(self, taking_over: bool) -> int:
        """Run workers until asked to end; the exit code."""
        internal_errors.watch(asyncio.get_running_loop())
        for number, ask in SIGNALS.items():
            self._loop.add_signal_handler(number, self._asked, ask)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, set(SIGNALS))
        try:
            if taking_over:
                self._take_over()
            else:
                self._own()
                await self._bind()
                self._choose_side()
                self._opened = True
                self._do(self._supervision.start(self._loop.time()))
            self._begin(self._tell_again())
            return await self._ended
        except OSError as wrong:
            log(f"can't listen: {wrong}")
            return ADDRESS_TAKEN if wrong.errno in ADDRESS else INNER_FAULT
        finally:
            signal.pthread_sigmask(signal.SIG_BLOCK, set(SIGNALS))
            self._close()

    def _own(self) -> None:
        """The folder is this one's from now on."""
        self._owner = True
        path = self._place.handover
        door = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            path.unlink(missing_ok=True)
            door.bind(str(path))
            door.listen()
        except OSError as wrong:
            log(f"no other one can take over, serving goes on: {path}: {wrong}")
            door.close()
        else:
            door.setblocking(False)
            self._door = door
            self._loop.add_reader(door, self._visited)
        self._tell()

    async def _bind(self) -> None:
        """Open the listeners that nobody has handed in."""
        for address in self._addresses():
            for tries in range(BIND_TRIES):
                if address in self._listeners:
                    break
                try:
                    self._listeners[address] = socket.create_server(address, backlog=BACKLOG)
                except OSError as wrong:
                    if wrong.errno != errno.EADDRINUSE or tries == BIND_TRIES - 1:
                        raise
                    await asyncio.sleep(BIND_PAUSE)

    def _addresses(self) -> list[Address]:
        http = self._file.http.listen if self._file.http is not None else ()
        return [read_address(text) for text in (*self._file.gateway.listen, *http)]

    def _choose_side(self) -> None:
        """Workers of one that died may still drain in their folders."""
        for side in SIDES:
            folders = [self._folder(slot, side) for slot in range(self._rows)]
            if not any(Place(folder).held() for folder in folders):
                self._side = side
                return

    def _folder(self, slot: int, side: str) -> Path:
        return self._place.folder / f"worker-{slot}{side}"

    def _end(self, code: int) -> None:
        if not self._ended.done():
            self._ended.set_result(code)

    def _close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        for held in self._processes.values():
            held.channel.close()  # one that is left hears of it, and drains
        for channel in (self._old, self._peer):
            if channel is not None:
                channel.close()
        self._unlisten()
        if self._door is not None:
            self._loop.remove_reader(self._door)
            self._door.close()
        self._board.close()
        if self._owner:
            self._tell("stopped")

    def _unlisten(self) -> None:
        for own in self._listeners.values():
            own.close()
        self._listeners.clear()

    def _begin(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (wrong := task.exception()) is not None:
            _tell_end(wrong)
            self._end(INNER_FAULT)

    # --- workers ----------------------------------------------------------------------------------------

    def _asked(self, ask: Ask) -> None:
        """A signal."""
        if self._taking is not None and self._taking.way not in (Way.OWNS, Way.ENDED):
            if ask is Ask.RELOAD:
                self._reload_heard = True
            else:
                self._take(Got.BYE, "this one was asked to end")
            return
        if ask is Ask.RELOAD:
            if self._peer is not None:
                self._peer.say({"reload": True})  # its workers may have read the file before
            self._notifier.reloading()
            if not self._reload_is_fine():
                return
        else:
            self._notifier.stopping(ask.value)
            if self._peer is not None and self._giving.stage is handover.Stage.OFFERED:
                self._peer.say({"bye": "the running one was asked to end"})
        if ask is Ask.DRAIN:
            self._tell_clients(leaving=True)  # by all: a drain comes to the last one late
        self._handle(ask)

    def _reload_is_fine(self) -> bool:
        """Guards the workers against a file that none of them could take."""
        try:
            file = read(self._path)
            if problems := fixed(self._file, file):
                raise ConfigError([f"{self._path}: {problem}" for problem in problems])
            if file.gateway.listen != self._file.gateway.listen:
                mend = "hand over to a new supervisor for that (serve --take-over), or take it back"
                raise ConfigError([f"{self._path}: gateway.listen: is another one; mend: {mend}"])
        except ConfigError as wrong:
            self._reloaded(wrong.problems)
            return False
        for line in changes(self._file, file):
            log(f"reload: {line}")
        self._file = file
        return True

    def _reloaded(self, problems: list[str]) -> None:
        self._reloads, self._problems = self._reloads + 1, problems
        for line in problems or ["has gone round"]:
            log(f"reload refused, the old settings stay: {line}" if problems else f"reload: {line}")
        if self._supervision.ending is None:
            self._notifier.ready(self._state())
        self._tell()

    def _handle(self, event: supervision.Event) -> None:
        self._do(self._supervision.handle(self._loop.time(), event))

    def _do(self, actions: list[supervision.Action]) -> None:
        for action in actions:
            match action:
                case Start(slot):
                    self._board.clear(slot)
                    self._begin(self._start(slot))
                case Send(slot, sent):
                    self._signal(slot, SENT[sent])
                case Say(text):
                    log(text)
                case Done(problems):
                    self._reloaded(list(problems))
                case Unlisten():
                    self._unlisten()
                case Exit(gave_up):
                    self._end(INNER_FAULT if gave_up else OK)
        self._arm()

    def _arm(self) -> None:
        """One timer, for whichever of the machines wants one next."""
        due = min(self._supervision.due(), self._giving.until)
        if self._taking is not None and self._taking.way is not Way.OWNS:
            due = min(due, self._taking.until)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due < float("inf"):
            self._timer = self._loop.call_at(max(due, self._loop.time() + 0.001), self._tick)

    def _tick(self) -> None:
        self._give(Heard.TICK)
        if self._taking is not None:
            self._take(Got.TICK)
        self._handle(supervision.Tick())

    async def _start(self, slot: int) -> None:
        try:
            ours, theirs = pair()
        except OSError as wrong:
            self._worker_ended(slot, f"could not be started ({wrong.strerror})")
            return
        folder = self._folder(slot, self._side)
        listeners = tuple(own.fileno() for own in self._listeners.values())
        post = Post(slot, self._side, theirs.fileno(), self._board.descriptor, self._rows, listeners)
        words = ["-m", "lynxreel.cli.main", "serve", "--config", str(self._path), "--worker", post.text()]
        environment = {k: v for k, v in os.environ.items() if k not in ("NOTIFY_SOCKET", "WATCHDOG_USEC")}
        try:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *words,
                stdin=asyncio.subprocess.DEVNULL,
                env=environment,
                pass_fds=(theirs.fileno(), self._board.descriptor, *listeners),
            )
        except OSError as wrong:
            ours.close()
            self._worker_ended(slot, f"could not be started ({wrong.strerror})")
            return
        finally:
            theirs.close()
        channel = Channel(ours, self._loop, lambda m, _: self._heard(slot, m), lambda: None)
        held = self._processes[slot] = _Process(process, channel, str(folder))
        if self._opened:
            self._open(held)
        phase = self._supervision.workers[slot].phase
        if phase in (Phase.ENDING, Phase.KILLED):  # told so before it had a process
            self._signal(slot, signal.SIGTERM if phase is Phase.ENDING else signal.SIGKILL)
        code = await process.wait()
        channel.close()
        if self._processes.get(slot) is held:
            del self._processes[slot]
        self._board.clear(slot)
        self._worker_ended(slot, f"died by signal {-code}" if code < 0 else f"ended with {code}")

    def _worker_ended(self, slot: int, how: str) -> None:
        if self._taking is not None and self._taking.way is not Way.OWNS:
            self._take(Got.FAILED, f"worker {slot} {how} before it served")
            return
        self._handle(supervision.Ended(slot, how))
        self._check_shut()
        self._tell()

    def _signal(self, slot: int, number: int) -> None:
        if (held := self._processes.get(slot)) is not None:
            with suppress(ProcessLookupError):
                held.process.send_signal(number)

    def _heard(self, slot: int, message: Message) -> None:
        """A worker says something."""
        if "beat" in message:
            self._handle(supervision.Beat(slot))
        elif "ready" in message:
            self._handle(supervision.Ready(slot))
            self._check_ready()
        elif "reloaded" in message:
            self._handle(supervision.Reloaded(slot, tuple(message["reloaded"])))
        elif "door" in message and (held := self._processes.get(slot)) is not None:
            held.shut = message["door"] == "shut"
            self._check_shut()

    def _check_ready(self) -> None:
        if not self._supervision.serving:
            return
        if self._taking is not None:
            self._take(Got.WARM)
        if self._opened and self._owner:
            self._notifier.ready("ready")
        self._tell()

    def _tell_clients(self, leaving: bool) -> None:
        """Whether those that ping are to hear that this address takes no more work."""
        for held in self._processes.values():
            held.channel.say({"leaving": leaving})

    def _open(self, held: _Process) -> None:
        held.shut = False
        held.channel.say({"door": "open"})

    # --- giving the listeners away ----------------------------------------------------------------------

    def _visited(self) -> None:
        """Another supervisor wants to take over."""
        assert self._door is not None
        with suppress(OSError):
            visitor, _ = self._door.accept()
            channel: Channel
            channel = Channel(
                visitor,
                self._loop,
                lambda message, _: self._peer_heard(channel, message),
                lambda: self._peer_lost(channel),
            )

    def _peer_heard(self, channel: Channel, message: Message) -> None:
        if "hello" in message:
            deeds = self._giving.handle(self._loop.time(), Heard.HELLO, self._busy())
            if self._peer is None and deeds[0].do is Do.OFFER:
                self._peer = channel
            self._perform(deeds, channel)
        elif channel is not self._peer:
            channel.close()
        elif "warm" in message:
            self._give(Heard.WARM)
        elif "serving" in message:
            self._give(Heard.SERVING)

    def _peer_lost(self, channel: Channel) -> None:
        if channel is self._peer:
            self._peer = None
            self._give(Heard.LOST)

    def _busy(self) -> str:
        """Why no handover can begin."""
        if self._supervision.ending:
            return "the running one is ending"
        if self._old is not None:
            return "the one before the running one still drains"
        if self._supervision.reloading:
            return "a reload is going round"
        return "" if self._supervision.serving else "the running one's workers are not all ready"

    def _give(self, heard: Heard) -> None:
        busy = "the running one is ending" if heard is Heard.WARM and self._supervision.ending else ""
        self._perform(self._giving.handle(self._loop.time(), heard, busy), self._peer)

    def _perform(self, deeds: list[handover.Deed], channel: Channel | None) -> None:
        for deed in deeds:
            if deed.why:
                log(f"handover: {deed.why}")
            match deed.do:
                case Do.OFFER:
                    self._offer()
                case Do.REFUSE if channel is not None:
                    channel.say({"refused": deed.why})
                    channel.close()
                case Do.SHUT:
                    for held in self._processes.values():
                        held.channel.say({"door": "shut"})
                    self._check_shut()
                case Do.YOURS if self._peer is not None:
                    self._peer.say({"yours": True})
                case Do.OPEN:
                    for held in self._processes.values():
                        self._open(held)
                case Do.END_PEER if self._peer is not None:
                    with suppress(OSError):
                        os.kill(self._peer.peer, signal.SIGKILL)
                case Do.HANG_UP if self._peer is not None:
                    self._peer.say({"bye": deed.why})
                    self._peer.close()
                    self._peer = None
                case Do.LEAVE:
                    log("handover: another supervisor serves; draining")
                    self._owner = False  # the folder is the other one's
                    self._tell_clients(leaving=False)
                    self._handle(Ask.LEAVE)
        self._arm()

    def _offer(self) -> None:
        assert self._peer is not None and self._place.lock is not None
        descriptors = [self._place.lock, *(own.fileno() for own in self._listeners.values())]
        try:
            self._peer.say({"offer": True, "side": self._side, "pid": os.getpid()}, descriptors)
        except OSError as wrong:
            log(f"handover: the listeners can't be passed on: {wrong}")
            self._peer.say({"refused": f"the listeners can't be passed on: {wrong.strerror}"})

    def _check_shut(self) -> None:
        """All doors are closed, and nothing that is shared is held any more."""
        if self._giving.stage is handover.Stage.SHUTTING and all(h.shut for h in self._processes.values()):
            self._give(Heard.SHUT)

    # --- taking them over -------------------------------------------------------------------------------

    def _take_over(self) -> None:
        """Ask the one that runs in this folder for its listeners."""
        self._taking = Taking(self._loop.time() + self._file.supervisor.handover_ms / 1e3)
        own = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            own.connect(str(self._place.handover))
        except OSError as wrong:
            own.close()
            log(f"{self._place.handover}: {wrong.strerror}: the instance that runs here has no supervisor")
            self._end(PLACE_TAKEN)
            return
        self._old = Channel(own, self._loop, self._old_heard, self._old_lost)
        self._old.say({"hello": __version__})
        self._arm()

    def _old_heard(self, message: Message, descriptors: list[int]) -> None:
        if "offer" in message and descriptors:
            self._adopt(message, descriptors)
        elif "offer" in message or "cut" in message:
            self._take(Got.BYE, "the listeners did not all arrive: too few descriptors are left here")
        elif "refused" in message:
            self._take(Got.REFUSED, message["refused"])
        elif "yours" in message:
            self._take(Got.YOURS)
        elif "bye" in message:
            self._take(Got.BYE, message["bye"])
        elif "reload" in message:
            self._reload_heard = True

    def _adopt(self, message: Message, descriptors: list[int]) -> None:
        lock, *rest = descriptors
        self._place.adopt(lock)
        wanted = set(self._addresses())
        try:
            for descriptor in rest:
                own = listener_from_descriptor(descriptor)
                address = own.getsockname()[:2]
                if address in wanted and address not in self._listeners:
                    self._listeners[address] = own
                else:
                    own.close()
        except ValueError as wrong:
            self._take(Got.BYE, str(wrong))
            return
        self._side = SIDES[1 - SIDES.index(message["side"])]
        self._begin(self._adopted())

    async def _adopted(self) -> None:
        try:
            await self._bind()  # addresses that are new in its file
        except OSError as wrong:
            self._take(Got.BYE, f"can't listen: {wrong}")
            return
        self._take(Got.OFFERED)

    def _old_lost(self) -> None:
        self._old = None
        if self._taking is not None:
            self._take(Got.LOST)

    def _take(self, got: Got, why: str = "") -> None:
        assert self._taking is not None
        for act, reason in self._taking.handle(self._loop.time(), got, why):
            match act:
                case Act.START:
                    self._do(self._supervision.start(self._loop.time()))
                case Act.SAY_WARM if self._old is not None:
                    self._old.say({"warm": True})
                case Act.OPEN:
                    self._opened = True
                    for held in self._processes.values():
                        self._open(held)
                    self._own()
                    self._notifier.taken_over()
                case Act.SAY_SERVING:
                    if self._old is not None:
                        self._old.say({"serving": True})
                    log("handover: this one serves now")
                    if self._reload_heard:
                        self._asked(Ask.RELOAD)
                case Act.GIVE_UP:
                    log(f"handover given up, the running one goes on: {reason}")
                    if got is not Got.REFUSED:
                        for slot in list(self._processes):
                            self._signal(slot, signal.SIGKILL)  # it has taken nothing
                    self._end(PLACE_TAKEN if got is Got.REFUSED else INNER_FAULT)
        self._arm()

    # --- what others see --------------------------------------------------------------------------------

    async def _tell_again(self) -> None:
        """The state file and, where a service manager watches, a sign of life."""
        every = min(TOLD, self._notifier.watchdog or TOLD)
        while True:
            await asyncio.sleep(every)
            self._tell()
            if self._notifier.watchdog is not None:
                self._notifier.alive()

    def _state(self) -> str:
        asked = self._supervision.ending
        if asked is not None:
            return "leaving" if asked is Ask.STOP else "draining"
        if self._supervision.reloading:
            return "reloading"
        return "ready" if self._supervision.workers and self._supervision.serving else "starting"

    def _tell(self, state: str = "") -> None:
        if not self._owner:
            return
        workers = []
        for slot, worker in enumerate(self._supervision.workers):
            held = self._processes.get(slot)
            told: dict[str, Any] = {"slot": slot, "state": worker.phase.value, "deaths": worker.deaths}
            if held is not None:
                told |= {"pid": held.process.pid, "folder": held.folder}
            workers.append(told)
        state = state or self._state()
        whole = {
            "state": state,
            "pid": os.getpid(),
            "name": self._file.gateway.name,
            "version": __version__,
            "config": str(self._path),
            "started_at": self._started_at,
            "at": time.time(),
            "listen": list(self._file.gateway.listen),
            "workers": workers,
            "reloads": self._reloads,
            "reload_problems": self._problems,
            "internal_errors": internal_errors.count,
        }
        try:
            self._place.write(whole)
        except OSError as wrong:
            log(f"the state file can't be written, serving goes on: {wrong}")


def _tell_end(wrong: BaseException) -> None:
    """What ends this supervisor; that the system refuses something is no fault of its own."""
    if isinstance(wrong, OSError):
        log(f"the supervisor ends: {wrong}")
    else:
        internal_errors.caught(wrong, "the supervisor, which ends")


def supervise(path: Path, file: OperatorFile, take_over: bool) -> int:
    """Run the workers that the operator file names; the exit code tells how it ended.

    With `take_over` it takes the listeners of the supervisor that runs in the same folder, where one does.
    """
    place = Place(file.state.folder)
    if len(file.gateway.listen) + (len(file.http.listen) if file.http else 0) >= MOST_DESCRIPTORS:
        log(f"{path}: gateway.listen: more than {MOST_DESCRIPTORS - 1} addresses; mend: name fewer")
        return BAD_CONFIG
    try:
        given = systemd_listeners()
        place.take()
    except ValueError as wrong:
        log(f"LISTEN_FDS: {wrong}")
        return BAD_CONFIG
    except Taken as taken:
        if not take_over:
            log(str(taken))
            return PLACE_TAKEN
    except OSError as wrong:
        log(f"{path}: state.folder: can't be used: {wrong}")
        return BAD_CONFIG

    async def run() -> int:
        return await Supervisor(path, file, place, given).run(place.lock is None)

    try:
        return uvloop.run(run())
    except Exception as wrong:  # whoever started it must be able to tell this from a wrong file
        _tell_end(wrong)
        return INNER_FAULT
    finally:
        place.leave()
