"""The gateway's program: reads EDGE_CONFIG, again at SIGHUP, and ends after SIGTERM when all is answered."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import os
import random
import signal
import sys
from pathlib import Path
from typing import Any

import uvloop

from lynxreel.daemon.instance import Instance
from lynxreel.daemon.lifecycle import Ask, Do, Life, ShutdownTimes
from lynxreel.engine.claims import CLAIMS_FILE, Claims
from lynxreel.fronts.listeners import OwnListenerFactory, inherited_listener
from lynxreel.fronts.resp2 import FIRST_COMMAND_TIMEOUT
from lynxreel.log import log
from lynxreel.node import Deployment, Node, PeerPlan
from lynxreel.peers.clock import FleetClock
from lynxreel.protocol.address import Address, read_address
from lynxreel.sources.platform import read_list
from mothgap.interface import ListKind
from mothgap.settings import read_names, read_settings

ACCEPT = 0.5  # seconds after SIGTERM in which what comes is taken on, for a while on new connections, too
KILL_MARGIN = 0.7  # seconds beyond the longest deadline after which the platform kills, by its protocol page
LONGEST_WAIT = 3.0  # seconds; the platform takes longer deadlines for this
# Seconds before the kill by which everything is answered. The process may be held up for 0.15 s before it
# sees SIGTERM, and again before it writes; and clients need a moment to close what has been ended.
ANSWER_MARGIN = 0.35
# Fractions of the memory limit, which two processes may share: of values that are passed on as they come,
HELD_PART = 0.125
CLIENT_BUFFERS_PART = 0.125  # and of other commands and answers
SIGNALS = {signal.SIGHUP: Ask.RELOAD, signal.SIGTERM: Ask.STOP, signal.SIGINT: Ask.STOP}


def read_config() -> dict[str, Any]:
    """The configuration as it stands now."""
    with open(os.environ["EDGE_CONFIG"], "rb") as file:
        config: dict[str, Any] = json.load(file)
    return config


def read_deployment(config: dict[str, Any], beside: bool = False) -> Deployment:
    """What the configuration tells of the deployment. `beside`: an older process of it may run still."""
    settings = read_settings(config["settings"])
    counter = None if settings.counter is None else read_address(config["counter"])
    discovery, listen = read_address(config["discovery"]), read_address(config["listen"])
    sockets = int(config["limits"]["sockets"])
    peers = None
    if settings.limits.peers and "peers" in config and "peer_listen" in config:
        addresses = tuple(read_address(address) for address in config["peers"])
        peers = PeerPlan(read_address(config["peer_listen"]), addresses, beside)
    else:  # what is asked of others would wait for answers that can't come
        limits = dataclasses.replace(settings.limits, peers=False)
        settings = dataclasses.replace(settings, limits=limits)
    names = read_names(config["settings"])
    memory = float(config["limits"].get("memory_mb", 64)) * (1 << 20)
    held, client_buffers = int(memory * HELD_PART), int(memory * CLIENT_BUFFERS_PART)
    return Deployment(
        settings, names, (listen,), discovery, counter, sockets,
        held=held, client_buffers=client_buffers, peers=peers, memory=int(memory),
    )  # fmt: skip


def read_operator(config: dict[str, Any]) -> Address | None:
    """Where operators call; None where nobody does. A ValueError names what can't be read."""
    told = config.get("operator") or os.environ.get("EDGE_OPERATOR")
    try:
        return read_address(told) if told else None
    except (ValueError, AttributeError) as wrong:
        raise ValueError(f"operator: {wrong}") from None


def shutdown_times(longest: float, shared: bool) -> ShutdownTimes:
    """What the platform leaves a process between SIGTERM and SIGKILL, by the longest deadline in seconds.

    `shared`: another process accepts clients at the same listener, so that none are taken from SIGTERM on.
    """
    accept = 0.0 if shared else ACCEPT
    killed = min(longest, LONGEST_WAIT) + KILL_MARGIN
    answer = max(0.0, killed - ANSWER_MARGIN - accept)
    return ShutdownTimes(
        accept, ACCEPT - accept, answer, longest + FIRST_COMMAND_TIMEOUT, finish_sending=True
    )


class Program(Instance):
    """The platform's program: its configuration says where to listen, and SIGHUP where to look."""

    def __init__(self, config: dict[str, Any], loop: asyncio.AbstractEventLoop) -> None:
        given = inherited_listener("EDGE_LISTEN_FD")
        self._shared = given is not None  # others may accept there, before this process and after it
        self._deployment = deployment = read_deployment(config, self._shared)
        longest = max(cls.deadline for cls in deployment.settings.classes) / 1e6
        super().__init__(Life(shutdown_times(longest, self._shared)), loop)
        self._operator = read_operator(config)
        self._seed = int(config["seed"], 16)
        self._known = read_list(config["known"], deployment.names, ListKind.CACHED)
        self._doors = OwnListenerFactory(loop, {deployment.listen[0]: given} if given is not None else {})

    async def run(self) -> None:
        """Serve until SIGTERM."""
        for number, ask in SIGNALS.items():
            self.loop.add_signal_handler(number, self.ask, ask)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        self.node = await self._make_node()
        if self._operator is not None:
            await self.take_calls(self._operator)
        await self.live(self._start())
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # from here on there is nothing to move
        self.node.close()

    async def _make_node(self) -> Node:
        """The gateway's parts, by the clock of the fleet. Raises an OSError where an address is taken."""
        clock = await self._ask_fleet()
        node = Node(self._deployment, self._seed, self._known, self.loop, None, self._doors, clock)
        if self._shared:
            node.hold(False)  # until it is ready: the process before it holds this gateway's share
            if folder := os.environ.get("TMPDIR"):  # which the platform leaves to both
                node.engine.claims = Claims(Path(folder) / CLAIMS_FILE)
        return node

    async def _ask_fleet(self) -> FleetClock | None:
        """The fleet's clock by the word of other gateways, where this one may speak to them."""
        plan, peers = self._deployment.peers, self._deployment.make_peers(self.loop)
        if plan is None or peers is None:
            return None
        await peers.open(plan.listen, plan.beside)
        index, chance = self._deployment.settings.index, random.Random(self._seed)
        clock = FleetClock(peers, index, len(plan.addresses), chance)
        peers.post = clock.on_message
        await clock.synchronize()
        return clock

    async def _start(self) -> None:
        await self.node.start()
        if self._shared:
            self.node.hold(True)
        self.started()

    def ask(self, ask: Ask) -> None:
        """An operator's wish, by a signal. Addresses that move matter to requests that are still owed."""
        if ask is Ask.RELOAD and self.life.ending:
            self._move()
        else:
            super().ask(ask)

    def do(self, do: Do) -> None:
        """Carry out what is the program's own. Pings are not told of a stop: the drain tells."""
        match do:
            case Do.RELOAD:
                self._move()
                self.reloaded()
            case Do.CLOSE if self._shared:
                self.node.hold(False)  # the process after it is ready
            case Do.CUT_OFF:
                self.node.clients.abort_all()

    def _move(self) -> None:
        """Go by the addresses in the new file. One that can't be read changes nothing."""
        try:
            config = read_config()
            discovery = read_address(config["discovery"])
            counter = None if self.node.counter is None else read_address(config["counter"])
        except (OSError, ValueError, KeyError, TypeError, AttributeError) as wrong:
            log(f"the new configuration can't be read, the old one stays: {wrong!r}")
        else:
            self.node.move(discovery, counter)


async def serve(config: dict[str, Any]) -> None:
    """Serve until SIGTERM."""
    await Program(config, asyncio.get_running_loop()).run()


def main() -> int:
    """0 after SIGTERM; 2, with one line on standard error, where the configuration is missing or wrong."""
    # One that comes before there is anything to move waits: its default would end the process. The deploy
    # file has it ignored until here, as the configuration that it tells of has not been read yet.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        uvloop.run(serve(read_config()))
    except KeyError as missing:
        log(f"missing in the environment or the configuration: {missing.args[0]}")
    except (OSError, ValueError, TypeError, AttributeError) as wrong:
        log(f"can't start: {wrong}")
    else:
        return 0
    return 2


if __name__ == "__main__":
    sys.exit(main())
