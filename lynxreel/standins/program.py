"""`lynxreel standin NAME`: one stand-in as a process, steered over its control port."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
from pathlib import Path
from typing import Any

import uvloop

from lynxreel.jsonlines import Commands, ask, listen
from lynxreel.protocol.address import read_address
from lynxreel.standins import traffic, world
from lynxreel.standins.base import Clock
from lynxreel.standins.box import Box
from lynxreel.standins.clients import Front, Gate
from lynxreel.standins.counter import Counter
from lynxreel.standins.faults import BadScript, Faults, read_script
from lynxreel.standins.ledger import Ledger
from lynxreel.standins.registry import Registry, entry
from lynxreel.standins.runs import RunLog, enter


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """The words of the command."""
    names = parser.add_subparsers(dest="name", required=True, metavar="NAME")
    for name, text in (
        ("box", "a server that takes CALL.GET and CALL.POST"),
        ("counter", "the platform's counter"),
        ("discovery", "the platform's list of boxes"),
        ("redis", "a Redis that keeps counters: one node"),
        ("etcd", "an etcd v3 of one member"),
        ("clients", "clients and the front before them"),
    ):
        one = names.add_parser(name, help=text)
        one.add_argument("--control", default="127.0.0.1:0", help="HOST:PORT for commands")
        one.add_argument("--seed", type=int, default=1)
        if name != "clients":
            one.add_argument("--listen", default="127.0.0.1:0", help="HOST:PORT; port 0 takes a free one")
            one.add_argument("--script", type=Path, help="a JSON list of faults")
        if name == "redis":
            one.add_argument("--password", default="", help="what clients must say; none by default")
        if name == "etcd":
            one.add_argument("--user", action="append", default=[], metavar="NAME:PASSWORD")
            one.add_argument("--certificate", type=Path, help="PEM; with --key it speaks TLS")
            one.add_argument("--key", type=Path)
            one.add_argument("--ca", type=Path, help="PEM; clients must show a certificate of its")
        if name == "box":
            one.add_argument("--id", default="box-0")
        if name == "discovery":
            one.add_argument("--boxes", nargs="*", default=[], metavar="ID=HOST:PORT")
        if name == "clients":
            one.add_argument("--gateways", nargs="+", required=True, metavar="HOST:PORT")
            one.add_argument("--rate", type=float, default=100.0, help="first tries a second")
            one.add_argument("--seconds", type=float, default=10.0)
            one.add_argument("--boxes-control", nargs="*", default=[], metavar="HOST:PORT")
            one.add_argument("--report", type=Path)


def _place(text: str) -> tuple[str, int]:
    """An address whose port may be 0."""
    host, _, port = text.rpartition(":")
    return host, int(port)


async def _run(args: argparse.Namespace) -> int:
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, ended.set)
    if args.name == "clients":
        return await _clients(args, ended)
    script = read_script(json.loads(args.script.read_text())) if args.script else ()
    faults, clock = Faults(args.seed, script), Clock(loop)
    commands: Commands = {
        "faults": lambda asked: _switch(faults, clock, asked),
        "clear": lambda asked: faults.off(),
        "now": lambda asked: clock.now(),
    }
    if args.name == "box":
        log = RunLog()
        box = Box(args.id, args.seed, world.WORK, log, faults, clock)
        commands["ledger"] = lambda asked: {"count": log.count, "entries": list(log.entries)}
        listener = box.listener
    elif args.name == "redis":
        from lynxreel.standins.redis import Redis  # here: it needs a library that the others do not

        redis = Redis(faults, clock, password=args.password)
        commands["ledger"] = lambda asked: {"adds": redis.adds, "keys": len(redis.store.keys)}
        commands["lose"] = lambda asked: redis.store.lose(asked["seconds"])
        commands["evict"] = lambda asked: redis.evict(asked["share"])
        commands["forget"] = lambda asked: redis.store.keys.clear()
        listener = redis.listener
    elif args.name == "etcd":
        from lynxreel.standins.etcd import Etcd, server_tls  # here: it needs a library that others do not

        users = dict(text.split(":", 1) for text in args.user)
        tls = server_tls(args.certificate, args.key, args.ca) if args.certificate else None
        etcd = Etcd(faults, clock, args.seed, users, tls)
        await etcd.open(*_place(args.listen))
        commands["ledger"] = lambda asked: etcd.ledger()
        commands["restore"] = lambda asked: etcd.restore(asked["revision"])
        commands["compact"] = lambda asked: etcd.store.compact(asked["revision"])
        commands["cut"] = lambda asked: etcd.proxy.cut()
        commands["expire_tokens"] = lambda asked: etcd.expire_tokens()
        listener = etcd.proxy.listener
    elif args.name == "counter":
        counter = Counter(faults, clock)
        commands["ledger"] = lambda asked: {"calls": counter.calls, "added": dict(counter.added)}
        commands["forget"] = lambda asked: counter.forget()
        listener = counter.listener
    else:
        registry = Registry(faults, clock)
        named = [item.partition("=") for item in args.boxes]
        registry.put(*[entry(name, read_address(at)) for name, _, at in named])
        commands["set"] = lambda asked: registry.set(asked["id"], asked["lifecycle"])
        commands["put"] = lambda asked: registry.put(entry(asked["id"], read_address(asked["address"])))
        commands["ledger"] = lambda asked: {"generation": registry.generation, "boxes": registry.boxes}
        listener = registry.listener
    if args.name != "etcd":  # which has opened its own
        await listener.open(*_place(args.listen))
    control, control_at = await listen(commands, _place(args.control))
    _say(listener.address, control_at)
    await ended.wait()
    listener.close()
    control.close()
    return 0


def _switch(faults: Faults, clock: Clock, asked: dict[str, Any]) -> int:
    """Switch faults on; their times count from now."""
    now = clock.now()
    script = read_script([{**item, "at": item.get("at", 0) + now} for item in asked["script"]])
    faults.on(*script)
    return len(script)


def _say(listen: tuple[str, int], control: tuple[str, int]) -> None:
    """One line for whoever started it: where it is."""
    told = {"listen": f"{listen[0]}:{listen[1]}", "control": f"{control[0]}:{control[1]}"}
    print(json.dumps(told), flush=True)


async def _clients(args: argparse.Namespace, ended: asyncio.Event) -> int:
    loop = asyncio.get_running_loop()
    ledger = Ledger(world.PLANS)
    gates = [Gate(f"g{n}", read_address(at)) for n, at in enumerate(args.gateways)]
    front = Front(gates, ledger, args.seed)
    commands: Commands = {
        "ledger": lambda asked: ledger.report(),
        "kill": lambda asked: front.kill(asked["gateway"]),
    }
    control, control_at = await listen(commands, _place(args.control))
    _say(("", 0), control_at)
    await front.ready()
    who = traffic.customers(args.seed, args.rate, world.PLANS, world.CLASSES, len(gates))
    play = loop.create_task(front.play(traffic.wishes(args.seed + 1, who, world.CLASSES), args.seconds))
    stop = loop.create_task(ended.wait())
    await asyncio.wait([play, stop], return_when=asyncio.FIRST_COMPLETED)
    for task in (play, stop):
        task.cancel()
    await front.settle(10.0)
    for place in args.boxes_control:
        told = await loop.run_in_executor(None, ask, read_address(place), "ledger")
        enter(ledger, [tuple(item) for item in told["entries"]])
    report = {**ledger.report(), "clients": dict(front.counts), "worst_lag_ms": round(front.lag * 1e3)}
    text = json.dumps(report, indent=2)
    if args.report is not None:
        args.report.write_text(text + "\n")
    else:
        print(text)
    front.close()
    control.close()
    broken = sum(report[what] for what in ("lost", "duplicated", "late", "ran_twice"))
    return int(broken > 0)


def run(args: argparse.Namespace) -> int:
    """Run it until SIGTERM; clients until they are through."""
    try:
        return uvloop.run(_run(args))
    except (BadScript, ValueError, OSError) as wrong:
        print(f"lynxreel standin {args.name}: {wrong}", file=sys.stderr)
        return 2
