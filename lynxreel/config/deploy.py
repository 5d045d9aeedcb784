"""From a checked operator file to what a gateway goes by, and what a new file changes."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

from pydantic import BaseModel

from lynxreel.config import model
from lynxreel.config.read import ConfigError
from lynxreel.fleet.views import transition_problem
from lynxreel.node import Deployment
from lynxreel.protocol.address import Address, read_address
from mothgap import interface as api
from mothgap.settings import EFFECTS, GROUPS, Names

if TYPE_CHECKING:
    from lynxreel.counters.redis import Options
    from lynxreel.fronts.http import HttpConfig
    from lynxreel.etcd.client import Options as EtcdOptions
    from lynxreel.sources.etcd import EtcdList
    from lynxreel.sources.files import FileList
    from lynxreel.links.mesh import Plan as LinksPlan
    from lynxreel.takeover.cover import TakeoverPlan
    from lynxreel.zones.shell import Plan as ZonesPlan

MS = 1_000  # microseconds
FIXED = (  # only at a start
    "gateway.name",
    "gateway.number",
    "gateway.workers",
    "supervisor",
    "state",
    "records",
    "operations",
    "counter.guard",
    "counter.beat_ms",
    "boxes.file",
    "boxes.etcd",
    "boxes.most_removed",
    "boxes.removed_within_ms",
    "limits.held_mb",
    "limits.client_buffers_mb",
    "http.listen",
    "http.repeat_keys",
    "http.repeat_ms",
    "links",
    "takeover",
    "zones",
)
Known = TypeVar("Known")


def deploy(file: model.OperatorFile, before: Deployment | None = None) -> Deployment:
    """What a gateway goes by.

    With a deployment before it, classes and plans keep the places that they had there. One that the file has
    no more keeps its place and figures for the requests that are open under it, but has no name any more.
    """
    old = before.settings if before is not None else None
    class_places, plan_places = (dict(before.places[0]), dict(before.places[1])) if before else ({}, {})
    classes = _placed(class_places, [(c.name, _class(c)) for c in file.classes], old.classes if old else ())
    plans = _placed(plan_places, [(p.name, _plan(p)) for p in file.plans], old.plans if old else ())
    limits, boxes, counter, seen = file.limits, file.boxes, file.counter, file.view
    settings = api.Settings(
        classes=classes,
        plans=plans,
        fleet_size=seen.max_gateways,
        index=file.gateway.number % seen.max_gateways,
        limits=api.Limits(
            max_attempts=limits.max_attempts,
            second_copies=limits.second_copies,
            may_cancel=limits.cancel,
            retry_after=limits.retry_after,
            max_retry_after=limits.max_retry_after_ms * MS,
            connect_timeout=limits.connect_timeout_ms * MS,
        ),
        safety=api.Safety(
            drain_grace=boxes.drain_grace_ms * MS,
            cold_from=boxes.cold_from,
            cold_span=boxes.cold_ms * MS,
            fall_multiple=boxes.fall_multiple,
            fall_span=boxes.fall_ms * MS,
        ),
        counter=api.Counter(time_limit=counter.time_limit_ms * MS) if counter else None,
        units_top=limits.largest_units,
        report_fields=boxes.load_report,
        report_by_probe=boxes.load_report_by_probe,
        ask_for_list=not boxes.discovery_agent,
        zone=boxes.zones.index(file.links.zone) if file.links and file.links.zone in boxes.zones else 0,
    )
    names = Names(
        classes={c.name: class_places[c.name] for c in file.classes},
        plans={p.name: plan_places[p.name] for p in file.plans},
        kinds={name: number for number, name in enumerate(boxes.kinds)},
        zones={name: number for number, name in enumerate(boxes.zones)},
        idle_timeout=boxes.idle_close_ms * MS,
    )
    return Deployment(
        settings,
        names,
        tuple(read_address(address) for address in file.gateway.listen),
        _source(boxes),
        _counter(counter) if counter else None,
        limits.sockets,
        (class_places, plan_places),
        counter.beat_ms * MS if counter and counter.guard else 0,
        _http(file, names, settings, before) if file.http is not None else None,
        max(1, file.gateway.workers),
        seen.share(file.gateway.number),
        int(limits.held_mb * 1e6),
        int(limits.client_buffers_mb * 1e6),
        links=_links(file),
        takeover=_takeover(file),
        zones=_zones(file, names),
    )


def for_worker(file: model.OperatorFile, slot: int, side: str) -> model.OperatorFile:
    """The file of one worker: an instance of its own, with its own number, folder and records.

    `side` tells the workers of one supervisor from those of the one that takes over from it.
    """
    gateway, mark = file.gateway, f"{slot}{side}"
    numbers = {
        "name": f"{gateway.name}-{slot}",
        "number": gateway.number * gateway.workers + slot,
        "gateways": gateway.gateways * gateway.workers,
    }
    folder = str(Path(file.state.folder) / f"worker-{mark}")
    if file.fleet is not None:
        counts = {"gateways": file.fleet.gateways, "before": file.fleet.before}
        many = {what: count * gateway.workers for what, count in counts.items()}
    changed: dict[str, object] = {
        "fleet": file.fleet.model_copy(update=many) if file.fleet is not None else None,
        "gateway": gateway.model_copy(update=numbers),
        "state": file.state.model_copy(update={"folder": folder}),
    }
    if file.links is not None:
        changed["links"] = _worker_links(file.links, gateway, slot, side)
    if file.records is not None:
        path = Path(file.records.file)
        own = str(path.with_name(f"{path.stem}-{mark}{path.suffix}"))
        changed["records"] = file.records.model_copy(update={"file": own})
    return file.model_copy(update=changed)


def _worker_links(links: model.Links, gateway: model.Gateway, slot: int, side: str) -> model.Links:
    """A worker's: all workers of all gateways, those of either side of a handover, each with its address."""
    own = model.PeerInstance(name=gateway.name, address=links.listen, zone=links.zone, host=links.host)
    peers, place = list[model.PeerInstance](), own
    for peer in (own, *[peer for peer in links.peers if peer.name != gateway.name]):
        host, port = read_address(peer.address)
        for number in range(gateway.workers):
            for turn, mark in enumerate(model.SIDES):
                at = f"{host}:{port + len(model.SIDES) * number + turn}"
                told = {"name": f"{peer.name}-{number}{mark}", "address": at, "host": peer.host or peer.name}
                peers.append(peer.model_copy(update=told))
                if peer is own and (number, mark) == (slot, side):
                    place = peers[-1]
    named = {"name": place.name, "listen": place.address, "host": place.host}
    return links.model_copy(update={**named, "peers": tuple(peers)})


def _placed(
    places: dict[str, int], named: list[tuple[str, Known]], before: tuple[Known, ...]
) -> tuple[Known, ...]:
    """The entries at their places; `places` learns those of new ones."""
    placed = list(before)
    for name, entry in named:
        if name in places:
            placed[places[name]] = entry
        else:
            places[name] = len(placed)
            placed.append(entry)
    return tuple(placed)


def _links(file: model.OperatorFile) -> LinksPlan | None:
    """Who the other instances are; nothing where nobody speaks to them."""
    if (links := file.links) is None or (file.takeover is None and file.zones is None):
        return None
    from lynxreel.links.mesh import Place, Plan  # here: only where it is configured

    own = Place(links.name or file.gateway.name, links.zone, read_address(links.listen), links.host)
    others = [Place(peer.name, peer.zone, read_address(peer.address), peer.host) for peer in links.peers]
    return Plan(own, tuple(others), file.state.folder)


def _zones(file: model.OperatorFile, names: Names) -> ZonesPlan | None:
    """How zones are left as a fleet; nothing where the file does not ask for it."""
    if (entry := file.zones) is None or file.boxes.etcd is None:
        return None
    from lynxreel.zones.shell import Plan  # here: only where it is configured
    from lynxreel.zones.store import Plan as StorePlan
    from lynxreel.zones.word import DecisionSettings

    terms = DecisionSettings(
        leave_ms=entry.leave_ms,
        settle_ms=entry.settle_ms,
        back_ms=entry.back_ms,
        rest_ms=entry.rest_ms,
        trial_ms=entry.trial_ms,
        least_witnesses=entry.least_witnesses,
        most_away=entry.most_away,
        hold_ms=entry.hold_ms,
    )
    store = StorePlan(etcd_options(file.boxes.etcd), f"{file.boxes.etcd.prefix}zones")
    return Plan(store, {number: name for name, number in names.zones.items()}, terms)


def _takeover(file: model.OperatorFile) -> TakeoverPlan | None:
    """Who keeps work in hand; nothing where the file does not ask for it."""
    if (entry := file.takeover) is None:
        return None
    from lynxreel.takeover.cover import TakeoverPlan  # here: only where it is configured

    word = None
    if entry.word and file.boxes.etcd is not None:
        from lynxreel.takeover.word import DecisionConfig

        word = DecisionConfig(etcd_options(file.boxes.etcd), f"{file.boxes.etcd.prefix}takeover/")
    return TakeoverPlan(
        entry.entries,
        int(entry.most_mb * 1e6),
        entry.wait_ms * MS,
        entry.keep_ms * MS,
        entry.once == "wait",
        word,
        entry.lease_ms * MS,
        entry.drift,
        file.limits.second_copies,
        max(cls.deadline_ms for cls in file.classes) * MS,
    )


def _source(boxes: model.Boxes) -> Address | FileList | EtcdList:
    if boxes.discovery is not None:
        return read_address(boxes.discovery)
    from lynxreel.membership.core import Guards  # here: only where it is configured

    guards = Guards(max_removed=boxes.most_removed, removed_within=boxes.removed_within_ms / 1e3)
    if boxes.etcd is not None:
        from lynxreel.sources.etcd import EtcdList

        return EtcdList(etcd_options(boxes.etcd), boxes.etcd.prefix, boxes.etcd.settings, guards)
    from lynxreel.sources.files import FileList

    return FileList(Path(boxes.file), guards)


def etcd_options(entry: model.Etcd) -> EtcdOptions:
    """How the cluster is reached; a ConfigError where a file that it names can't be used."""
    from lynxreel.etcd.client import Options, Tls

    files = (entry.ca_file, entry.certificate_file, entry.key_file, entry.server_name)
    tls = Tls(*files) if entry.tls else None
    try:
        password = Path(entry.password_file).read_text().strip() if entry.password_file else ""
        if tls is not None:
            tls.context()
    except OSError as wrong:
        raise ConfigError([f"boxes.etcd: {wrong}; mend: name files that can be read"]) from None
    places = tuple(read_address(address) for address in entry.endpoints)
    return Options(places, entry.username, password, tls)


def _counter(entry: model.Counter) -> Address | Options:
    """Where and how it is called; a ConfigError where a file that it names can't be used."""
    if entry.address is not None:
        return read_address(entry.address)
    from lynxreel.counters.redis import Options, Tls  # here: only where it is configured

    redis = entry.redis
    assert redis is not None
    files = (redis.ca_file, redis.certificate_file, redis.key_file, redis.server_name)
    tls = Tls(*files) if redis.tls else None
    try:
        password = Path(redis.password_file).read_text().strip() if redis.password_file else ""
        if tls is not None:
            tls.context()
    except OSError as wrong:
        raise ConfigError([f"counter.redis: {wrong}; mend: name files that can be read"]) from None
    places = tuple(read_address(address) for address in redis.addresses)
    how = (redis.prefix, redis.cluster, redis.sentinel, redis.protocol)
    return Options(places, *how, redis.username, password, redis.database, tls)


def _http(
    file: model.OperatorFile, names: Names, settings: api.Settings, before: Deployment | None
) -> HttpConfig:
    """The HTTP front; a ConfigError where the description, or a file that is named, can't be used."""
    from lynxreel.config.http import plan  # here: only where it is configured

    return plan(file, names, settings, before.http if before is not None else None)


def _class(entry: model.RequestClass) -> api.RequestClass:
    return api.RequestClass(
        effect=EFFECTS[entry.effect],
        aim=entry.aim_ms * MS,
        deadline=entry.deadline_ms * MS,
        worth=entry.worth,
        late_worth=entry.late_worth,
        group=GROUPS[entry.group],
        key_memory=entry.key_memory_ms * MS,
    )


def _plan(entry: model.Plan) -> api.Plan:
    return api.Plan(**entry.model_dump(exclude={"name"}))


def changes(old: model.OperatorFile, new: model.OperatorFile) -> list[str]:
    """A line for each value that differs: its key, what it was and what it is. Lists of tables go by name."""
    before, after = _flat(old), _flat(new)
    lines = []
    for key, value in before.items():
        if key not in after:
            lines.append(f"{key}: is gone" if isinstance(value, BaseModel) else f"{key}: {value!r} is gone")
        elif value != after[key] and not isinstance(value, BaseModel):
            lines.append(f"{key}: {value!r} is now {after[key]!r}")
    for key, value in after.items():
        if key not in before:
            lines.append(f"{key}: is new" if isinstance(value, BaseModel) else f"{key}: new, {value!r}")
    tables = [line.partition(": ")[0] for line in lines if line.endswith((": is gone", ": is new"))]
    return [line for line in lines if not line.startswith(tuple(f"{table}." for table in tables))]


def fixed(old: model.OperatorFile, new: model.OperatorFile, starting: bool = False) -> list[str]:
    """What a new file changes that holds from a start only: a problem for each.

    `starting`: nothing has been taken yet, so the number of gateways may be any.
    """
    lines = [line for line in changes(old, new) if line.partition(": ")[0].startswith(FIXED)]
    problems = [f"{line}; mend: restart the instance for that, or take it back" for line in lines]
    if not starting and (wrong := transition_problem(old.view, new.view)):
        problems.append(f"fleet: {wrong}")
    return problems


def _flat(value: object, key: str = "") -> dict[str, object]:
    if isinstance(value, BaseModel):
        parts = {name: getattr(value, name) for name in type(value).model_fields}
        joint = f"{key}." if key else ""
        return {k: v for name, part in parts.items() for k, v in _flat(part, joint + name).items()}
    if isinstance(value, tuple) and value and isinstance(value[0], model.RequestClass | model.Plan):
        named = {f"{key}.{entry.name}": entry for entry in value}
        return named | {k: v for place, entry in named.items() for k, v in _flat(entry, place).items()}
    return {key: value}
