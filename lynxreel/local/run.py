"""`lynxreel local`: a deployment in the foreground, steady until Ctrl-C, or a scripted day with a report."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import importlib.util
import json
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import uvloop
from rich import box
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from lynxreel.local import web
from lynxreel.local.deployment import Deployment
from lynxreel.local.files import boxes_for
from lynxreel.local.night import Deed, Night, read_night
from lynxreel.local.script import Step, script
from lynxreel.local.zones import Loss, Lost
from lynxreel.local.zones import table as zone_table
from lynxreel.standins.box import Resp2Link
from lynxreel.standins.http_box import HttpLink

if TYPE_CHECKING:
    from lynxreel.local.by_etcd import Cluster

BROKEN = ("lost", "duplicated", "late", "ran_twice")
SETTLE = 10.0  # seconds after the day in which what is open is answered: over the longest deadline
RETRY_TAIL = 1.0  # and in which clients that were refused come again


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """The words of the command."""
    parser.add_argument("--gateways", type=int, default=3, help="instances, each a process of its own")
    parser.add_argument("--workers", type=int, default=0, help="of each gateway, behind one address")
    parser.add_argument("--boxes", type=int, default=0, help="stand-in boxes; as many as the load wants")
    parser.add_argument("--http-boxes", action="store_true", help="boxes speak HTTP in place of RESP2")
    parser.add_argument("--rate", type=float, default=150.0, help="first tries of clients a second")
    parser.add_argument("--seconds", type=float, default=0.0, help="of a scripted day; else until Ctrl-C")
    parser.add_argument("--kill", type=int, default=0, help="gateways killed together, with SIGKILL")
    parser.add_argument("--drain", type=int, default=0, help="gateways drained, one by one")
    parser.add_argument("--reload", type=int, default=0, help="reloads of random gateways")
    parser.add_argument("--takeover", action="store_true", help="work in hand outlives its gateway")
    parser.add_argument(
        "--zones", type=int, default=1,
        help="of gateways and boxes, in turn; without --takeover they are left by the whole fleet together",
    )  # fmt: skip
    parser.add_argument("--lose-zone", type=int, metavar="N", help="the boxes of this one die, and come back")
    parser.add_argument("--lose-at", type=float, default=5.0, metavar="SECONDS", help="of the load")
    parser.add_argument("--lose-for", type=float, default=6.0, metavar="SECONDS")
    parser.add_argument("--faults", type=Path, help="what goes wrong and when: docs/running-a-fleet.md")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--report", type=Path, help="write the books to this file, as JSON")
    parser.add_argument("--folder", type=Path, help="for operator files, logs and records")
    parser.add_argument("--quiet", action="store_true", help="no table")


def report(deployment: Deployment, steps: list[Step]) -> dict[str, Any]:
    """The books of the day, and how each gateway ended."""
    books = deployment.ledger.report()
    front = deployment.front
    ends = {}
    for gateway in deployment.gateways:
        state = gateway.place.read()
        ends[gateway.gate.name] = {"asked": gateway.asked, "code": gateway.code, "left": state.get("left")}
    bad_ends = sum(g.code != (-signal.SIGKILL if g.asked == "kill" else 0) for g in deployment.gateways)
    return {
        **books,
        "bad_ends": bad_ends,
        "clients": dict(front.counts),
        "latency_ms": {"p50": front.percentile(0.5), "p99": front.percentile(0.99)},
        "worst_lag_ms": round(front.lag * 1e3),
        "steps": [{"at": round(s.at, 3), "what": s.what, "gateways": list(s.gateways)} for s in steps],
        "after_leaving_ms": round(deployment.after_leaving() * 1e3),
        "held": len(front.losses),
        "back": dict(Counter(loss.how or "in vain" for loss in front.losses)),
        "ends": ends,
        "internal_errors": deployment.internal_errors(),
        "seed": deployment.seed,
    }


def verdict(books: dict[str, Any]) -> int:
    """The exit code: 1 where a rule was broken among what living gateways had taken, or one ended badly.

    Also where a gateway raised what nothing expected.
    """
    return int(any(books[what] for what in BROKEN) or books["bad_ends"] > 0 or bool(books["internal_errors"]))


def table(deployment: Deployment, before: dict[str, Counter[str]], span: float) -> Table:
    """What each gateway does a second, and in all."""
    title = f"{deployment.count} gateways, {len(deployment.boxes)} boxes"
    shown = Table(title=title, box=box.SIMPLE)  # which fits into 80 columns
    for head in ("gateway", "state"):
        shown.add_column(head)
    for head in ("taken/s", "served/s", "refused/s", "failed/s", "served", "lost"):
        shown.add_column(head, justify="right")
    for gateway in deployment.gateways:
        name = gateway.gate.name
        now: Counter[str] = Counter()
        for (_, place, what), count in deployment.ledger.counts.items():
            if place == name:
                now[what] += count
        past = before.get(name, Counter())
        state = gateway.place.read().get("state", "?") if gateway.code is None else f"ended {gateway.code}"
        counted = ("taken", "served", "refused", "failed")
        rates = [f"{(now[what] - past[what]) / span:.0f}" for what in counted]
        shown.add_row(name, state, *rates, str(now["served"]), str(now["lost"]))
        before[name] = now
    return shown


def hint(deployment: Deployment) -> str:
    """Where to send a request by hand, and a line that does so."""
    host, port = deployment.gateways[0].gate.address
    line = f"{sys.argv[0]} call {host}:{port}"
    told = f"a gateway listens on {host}:{port}; one request by hand:\n  {line}"
    if 0 in deployment.http_at:
        served, refused = web.calls(deployment.http_at[0])
        told += f"\nthe same by HTTP, and until it is refused:\n  {served}\n  {refused}"
    return told


async def _show(deployment: Deployment, console: Console, zones: int) -> None:
    before: dict[str, Counter[str]] = {}
    below = Text(hint(deployment), overflow="fold")
    last, came = time.monotonic(), _came(deployment, zones)
    with Live(console=console, refresh_per_second=4) as live:
        while True:
            await asyncio.sleep(1.0)
            now, there = time.monotonic(), _came(deployment, zones)
            shown = [table(deployment, before, now - last)]
            if zones > 1:
                living = [gateway for gateway in deployment.gateways if gateway.code is None]
                states = {gateway.number: gateway.place.read() for gateway in living}
                rates = {zone: (count - came[zone]) / (now - last) for zone, count in there.items()}
                shown.append(zone_table(states, zones, rates))
            live.update(Group(*shown, below))
            last, came = now, there


def _came(deployment: Deployment, zones: int) -> dict[str, int]:
    """Requests that have come to the boxes of each zone."""
    boxes = deployment.boxes
    return {f"z{n}": sum(len(one.came) for one in boxes[n::zones]) for n in range(zones)}


async def _steps(deployment: Deployment, steps: list[Step], night: Night) -> None:
    deployment.strike(night.faults)
    drawn = [Deed(step.at, step.what, step.gateways) for step in steps]
    await asyncio.gather(*(_deed(deployment, deed) for deed in (*drawn, *night.deeds)))


async def _deed(deployment: Deployment, deed: Deed) -> None:
    await asyncio.sleep(deed.at)
    await deployment.act(deed)


def _wired(args: argparse.Namespace) -> bool:
    """What instances say to each other passes through wires that can fail."""
    return args.takeover and args.faults is not None and not args.workers


def read_faults(args: argparse.Namespace) -> Night:
    """What the file says. Raises ValueError, which names the place, or OSError."""
    if args.faults is None:
        return Night()
    boxes = args.boxes or boxes_for(args.rate)
    try:
        return read_night(json.loads(args.faults.read_text()), args.gateways, boxes, _wired(args))
    except ValueError as wrong:
        raise ValueError(f"{args.faults}: {wrong}") from None


def _as_fleet(args: argparse.Namespace) -> bool:
    """Zones are left by the whole fleet, by a word in etcd."""
    return args.zones > 1 and not args.takeover


def check(args: argparse.Namespace, night: Night) -> None:
    """Words that make no sense together. Raises ValueError."""
    if args.zones < 1:
        raise ValueError("--zones: there is one zone at least")
    if not _as_fleet(args):
        if args.lose_zone is not None:
            raise ValueError("--lose-zone goes with --zones of two at least, and without --takeover")
        return
    if importlib.util.find_spec("msgspec") is None or importlib.util.find_spec("google.protobuf") is None:
        raise ValueError("--zones goes with the extras takeover and etcd: install lynxreel[takeover,etcd]")
    if args.lose_zone is not None and not 0 <= args.lose_zone < args.zones:
        raise ValueError(f"--lose-zone: is {args.lose_zone}, not a zone from 0 to {args.zones - 1}")
    if args.lose_at < 0 or args.lose_for <= 0:
        raise ValueError("--lose-at and --lose-for: are seconds, of which the second lasts")
    if args.workers:
        raise ValueError("--zones goes without --workers")
    if any(deed.boxes or deed.do.startswith("list-") for deed in night.deeds):
        raise ValueError("--zones has its list in etcd: no deeds to boxes or to the list in --faults")


async def play(args: argparse.Namespace, folder: Path, night: Night) -> int:
    """The whole command."""
    if not _as_fleet(args):
        return await _play(args, folder, night, None)
    from lynxreel.local.by_etcd import Cluster  # here: it needs the extra `etcd`

    cluster = Cluster()
    await cluster.etcd.open()
    try:
        return await _play(args, folder, night, cluster)
    finally:
        cluster.etcd.close()


async def _play(args: argparse.Namespace, folder: Path, night: Night, cluster: Cluster | None) -> int:
    """`cluster`: where the boxes and the word on zones are, where zones are left as a fleet."""
    console = Console(stderr=True)
    edit: Callable[[str], str] = str
    zones = 1
    if cluster is not None:
        from lynxreel.local import by_etcd

        zones, in_etcd = args.zones, by_etcd.operator((cluster,))
        edit = lambda text: by_etcd.in_zones(in_etcd(text), zones)  # noqa: E731
    steps = script(args.seed, args.seconds, args.gateways, args.kill, args.drain, args.reload)
    http = importlib.util.find_spec("jsonschema_rs") is not None  # of the extra `openapi`
    link = HttpLink if args.http_boxes else Resp2Link
    deployment = Deployment(
        folder, args.gateways, args.rate, args.seed, args.boxes, http=http, link=link, workers=args.workers,
        takeover=args.takeover, zones=args.zones, wires=_wired(args), keyed=args.takeover,
        edit=edit, links=cluster is not None,
    )  # fmt: skip
    lost: Lost | None = None
    if args.lose_zone is not None:
        lost = Lost(deployment, zones, Loss(args.lose_zone, args.lose_at, args.lose_for))
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, ended.set)
    try:
        if cluster is None:
            await deployment.start()
        else:
            await by_etcd.start(deployment, cluster, zones)
        if not args.quiet:
            console.print(f"operator files, logs and records are in {folder}")
        tasks = [loop.create_task(deployment.play(args.seconds or 1e9))]
        others = [loop.create_task(_steps(deployment, steps, night))]
        if not args.quiet:
            others.append(loop.create_task(_show(deployment, console, zones)))
        if lost is not None:
            others.append(loop.create_task(lost.play()))
        tasks.append(loop.create_task(_wait(ended)))
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in [*tasks, *others]:
            if task.done() and not task.cancelled() and task.exception() is not None:
                raise task.exception() or RuntimeError
            task.cancel()
        await asyncio.sleep(0 if ended.is_set() else RETRY_TAIL)
        await deployment.front.settle(SETTLE)
        await deployment.stop()
        books = report(deployment, steps)
        if lost is not None:
            books["zone"] = {stage: [round(at, 3) for at in heard] for stage, heard in lost.heard().items()}
    finally:
        deployment.close()
    if args.report is not None:
        args.report.write_text(json.dumps(books, indent=2) + "\n")
    if not args.quiet:
        whole = {what: value for what, value in books.items() if isinstance(value, int | float)}
        whole |= {"back": books["back"]} if args.takeover else {}
        whole |= {"zone": books["zone"]} if lost is not None else {}
        print(json.dumps(whole))
    for problem in books["problems"]:
        print(problem, file=sys.stderr)
    return verdict(books)


async def _wait(event: asyncio.Event) -> None:
    await event.wait()


def local(args: argparse.Namespace) -> int:
    """Run it; 1 where a rule was broken, 2 where the words make no sense."""
    try:
        script(args.seed, args.seconds, args.gateways, args.kill, args.drain, args.reload)
        night = read_faults(args)
        check(args, night)
    except (ValueError, OSError) as wrong:
        print(f"lynxreel local: {wrong}", file=sys.stderr)
        return 2
    with contextlib.ExitStack() as stack:
        folder = args.folder
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="lynxreel-")))
        folder.mkdir(parents=True, exist_ok=True)
        return uvloop.run(play(args, folder, night))
