"""`lynxreel COMMAND`: parses the line and hands over."""

from __future__ import annotations

import argparse
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

from lynxreel import __version__


def _check(args: argparse.Namespace) -> int:
    from lynxreel.config.read import ConfigError, read

    try:
        file = read(args.file)
    except ConfigError as wrong:
        print(wrong, file=sys.stderr)
        return 78
    held = f"{len(file.classes)} classes, {len(file.plans)} plans"
    print(f"{args.file}: fine: instance {file.gateway.name}, {held}")
    return 0


def _diff(args: argparse.Namespace) -> int:
    from lynxreel.config.deploy import changes, fixed
    from lynxreel.config.read import ConfigError, read

    try:
        old, new = read(args.old), read(args.new)
    except ConfigError as wrong:
        print(wrong, file=sys.stderr)
        return 78
    held = fixed(old, new)
    for line in changes(old, new):
        print(line)
    for line in held:
        print(f"a reload would refuse this: {line}", file=sys.stderr)
    return 1 if held else 0


def _serve(args: argparse.Namespace) -> int:
    # The imports take a while, and the default of these signals would end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGUSR1})
    from lynxreel.daemon.serve import serve

    if args.worker is None:
        return serve(args.config, take_over=args.take_over)
    from lynxreel.workers.worker import Post

    return serve(args.config, Post.read(args.worker))


def _control(args: argparse.Namespace) -> int:
    from lynxreel.daemon.control import control

    return control(args.what, args.config, args.wait)


def _say(args: argparse.Namespace) -> int:
    from lynxreel.daemon.control import say

    return say(args.command.upper(), args.config)


def _records(args: argparse.Namespace) -> int:
    import json

    from lynxreel.records.reader import read

    try:
        found = read(args.file)
    except OSError as wrong:
        print(wrong, file=sys.stderr)
        return 66
    for line in found.lines:
        print(json.dumps(line))
    if found.torn:
        print(f"{found.torn} torn lines are left out", file=sys.stderr)
    return 0


def _local(args: argparse.Namespace) -> int:
    from lynxreel.local.run import local

    return local(args)


def _boxes(args: argparse.Namespace) -> int:
    if args.act is None:
        from lynxreel.daemon.control import boxes

        return boxes(args.config, args.approve)
    from lynxreel.cli.boxes import drain, put

    return drain(args.config, args.id) if args.act == "drain" else put(args.config, args.file)


def _inspect(args: argparse.Namespace) -> int:
    from lynxreel.daemon.inspect import inspect

    return inspect(args.config, args.plan, args.customer)


def _fleet(args: argparse.Namespace) -> int:
    from lynxreel.cli.fleet import fleet, work

    if args.act == "work":
        return work(args.config)
    return fleet(args.config, args.gateways, args.before)


def _zones(args: argparse.Namespace) -> int:
    from lynxreel.cli.zones import order, show

    if args.act is None:
        return show(args.config)
    at_once = args.act == "leave" and args.at_once
    return order(args.config, "at once" if at_once else args.act, args.zone, args.dry_run)


def _standin(args: argparse.Namespace) -> int:
    from lynxreel.standins.program import run

    return run(args)


def _routes(args: argparse.Namespace) -> int:
    from lynxreel.cli.routes import check, diff, show

    if args.act == "check":
        return check(args.file, args.config)
    return show(args.file, args.json) if args.act == "show" else diff(args.old, args.new)


def _plan(args: argparse.Namespace) -> int:
    from lynxreel.cli.plan import check, diff, solve

    if args.act == "check":
        return check(args.file)
    return diff(args.old, args.new) if args.act == "diff" else solve(args.file, args.in_force, args.life)


def _call(args: argparse.Namespace) -> int:
    from lynxreel.cli.call import call

    return call(args.address, args.words)


def parser(words: Sequence[str]) -> argparse.ArgumentParser:
    """All commands and their words; those of the command that is called, where they need a library."""
    whole = argparse.ArgumentParser(prog="lynxreel", description="A quota gateway.")
    whole.add_argument("--version", action="version", version=f"lynxreel {__version__}")
    commands = whole.add_subparsers(dest="command", required=True, metavar="COMMAND")

    serve = commands.add_parser("serve", help="run an instance in the foreground")
    serve.add_argument("--config", type=Path, required=True, metavar="FILE", help="the operator file")
    serve.add_argument(
        "--take-over", action="store_true", help="from the supervisor that runs there; no connect is refused"
    )
    serve.add_argument("--worker", help=argparse.SUPPRESS)  # what a supervisor starts its workers with
    serve.set_defaults(run=_serve)

    check = commands.add_parser("check", help="check an operator file and tell every error in it")
    check.add_argument("file", type=Path)
    check.set_defaults(run=_check)

    diff = commands.add_parser("diff", help="tell what a reload from one operator file to another changes")
    diff.add_argument("old", type=Path)
    diff.add_argument("new", type=Path)
    diff.set_defaults(run=_diff)

    for what, text in (
        ("status", "print a running instance's state file"),
        ("reload", "have an instance read its file again"),
        ("leave", "have an instance take no new connection, answer what it owes, and end"),
        ("stop", "the same after a moment in which connections are still taken"),
    ):
        control = commands.add_parser(what, help=text)
        control.add_argument("--config", type=Path, required=True, metavar="FILE", help="the operator file")
        control.add_argument("--wait", type=float, default=0.0, metavar="SECONDS", help="for it to be done")
        control.set_defaults(run=_control, what=what)

    for word, text in (
        ("ready", "ask whether an instance takes clients"),
        ("drain", "have an instance send its clients away and take none, until undrain"),
        ("undrain", "have a drained instance take clients again"),
    ):
        call = commands.add_parser(word, help=text)
        call.add_argument("--config", type=Path, required=True, metavar="FILE", help="the operator file")
        call.set_defaults(run=_say)

    local = commands.add_parser("local", help="a whole deployment on this machine, with stand-ins and a load")
    if words[:1] == ["local"]:
        from lynxreel.local.run import add_arguments

        add_arguments(local)
    local.set_defaults(run=_local)

    boxes = commands.add_parser("boxes", help="what a running instance believes of its boxes, and why")
    boxes.add_argument("--config", type=Path, required=True, metavar="FILE", help="the operator file")
    acts = boxes.add_subparsers(dest="act", metavar="ACT")
    acts.add_parser("drain", help="mark a box draining, on etcd").add_argument("id")
    put = acts.add_parser("put", help="make etcd's boxes those of a document, in one transaction")
    put.add_argument("file", type=Path)
    boxes.add_argument("--approve", action="store_true", help="follow the source although it takes away much")
    boxes.set_defaults(run=_boxes)

    counter = commands.add_parser("counter", help="look at the shared counter")
    looks = counter.add_subparsers(dest="look", required=True, metavar="LOOK")
    inspect = looks.add_parser("inspect", help="what it holds of a customer, and what instances believe")
    inspect.add_argument("--config", type=Path, action="append", required=True, metavar="FILE")
    inspect.add_argument("--plan", required=True, help="the customer's plan")
    inspect.add_argument("customer", help="16 hex digits, as in calls")
    inspect.set_defaults(run=_inspect)

    fleet = commands.add_parser("fleet", help="while the number of gateways changes: what may be done next")
    fleet.add_argument("act", nargs="?", choices=("next", "work"), default="next", help="or what is in hand")
    fleet.add_argument("--config", type=Path, action="append", required=True, metavar="FILE")
    fleet.add_argument("--gateways", type=int, default=0, help="as given out; what the first file says")
    fleet.add_argument("--before", type=int, default=0, help="likewise, while it changes")
    fleet.set_defaults(run=_fleet)

    zones = commands.add_parser("zones", help="the fleet's word on zones, and what is seen and used")
    zones.add_argument("--config", type=Path, action="append", required=True, metavar="FILE")
    acts = zones.add_subparsers(dest="act", metavar="ACT")
    for what, text in (
        ("leave", "have the fleet leave a zone, in its steps, and stay away"),
        ("return", "have it come back, in its steps, whatever the rest that is left"),
        ("hold", "have a zone stay as it is"),
        ("free", "take such an order back"),
    ):
        act = acts.add_parser(what, help=text)
        act.add_argument("zone")
        act.add_argument("--dry-run", action="store_true", help="only say what would follow now")
        if what == "leave":
            act.add_argument("--at-once", action="store_true", help="whether or not the rest bears it")
    zones.set_defaults(run=_zones)

    standin = commands.add_parser("standin", help="one stand-in as a process, with faults on demand")
    if words[:1] == ["standin"]:
        from lynxreel.standins import program

        program.add_arguments(standin)
    standin.set_defaults(run=_standin)

    routes = commands.add_parser("routes", help="an OpenAPI description as a table of routes and costs")
    acts = routes.add_subparsers(dest="act", required=True, metavar="ACT")
    fine = acts.add_parser("check", help="check a description and tell every problem in it")
    fine.add_argument("file", type=Path)
    fine.add_argument("--config", type=Path, metavar="FILE", help="an operator file whose classes it needs")
    shown = acts.add_parser("show", help="a line for each route: what it costs and how it is treated")
    shown.add_argument("file", type=Path)
    shown.add_argument("--json", action="store_true", help="all of it, one object a line")
    changed = acts.add_parser("diff", help="what another description serves, charges or refuses differently")
    changed.add_argument("old", type=Path)
    changed.add_argument("new", type=Path)
    routes.set_defaults(run=_routes)

    plan = commands.add_parser("plan", help="shares of traffic worked out ahead")
    acts = plan.add_subparsers(dest="act", required=True, metavar="ACT")
    fine = acts.add_parser("check", help="check a problem and tell every error in it")
    fine.add_argument("file", type=Path)
    solved = acts.add_parser("solve", help="print the plan of a problem, or why there is none")
    solved.add_argument("file", type=Path)
    solved.add_argument("--in-force", type=Path, metavar="PLAN", help="of which as little as can be is moved")
    solved.add_argument("--life", type=float, default=3600.0, metavar="SECONDS", help="for which it counts")
    moved = acts.add_parser("diff", help="how much work another plan moves, from where to where")
    moved.add_argument("old", type=Path)
    moved.add_argument("new", type=Path)
    plan.set_defaults(run=_plan)

    call = commands.add_parser("call", help="send one command to a gateway and print its answer")
    call.add_argument("address", help="HOST:PORT")
    call.add_argument("words", nargs="*", help="as CALL.GET CUSTOMER ID TERMS, or PING; a lookup by default")
    call.set_defaults(run=_call)

    records = commands.add_parser("records", help="print an instance's records, torn lines left out")
    records.add_argument("file", type=Path)
    records.set_defaults(run=_records)
    return whole


def main(words: Sequence[str] | None = None) -> int:
    """Run a command; its exit code."""
    given = sys.argv[1:] if words is None else list(words)
    args = parser(given).parse_args(given)
    code: int = args.run(args)
    return code


if __name__ == "__main__":
    sys.exit(main())
