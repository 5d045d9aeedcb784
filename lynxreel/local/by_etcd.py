"""A deployment whose boxes are on a stand-in etcd, and what its operator writes there."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from pathlib import Path
from typing import Any

from lynxreel.etcd import rpc_pb2 as pb
from lynxreel.etcd.client import prefix_range_end
from lynxreel.local.deployment import Deployment
from lynxreel.membership.core import Box
from lynxreel.membership.document import write_box
from lynxreel.standins.base import Clock
from lynxreel.standins.etcd import Etcd
from lynxreel.standins.faults import Faults
from mothgap.interface import State

PREFIX = "/lx/"
# Quicker than in service.
ZONES = "\n[zones]\nsettle_ms = 1200\nrest_ms = 700\ntrial_ms = 300\nback_ms = 400\n"


class Cluster:
    """A stand-in etcd, its faults, and writes as an operator makes them."""

    def __init__(self, **given: Any) -> None:
        """`given` is for the stand-in."""
        self.faults = Faults(given.get("seed", 3))
        self.etcd = Etcd(self.faults, Clock(asyncio.get_running_loop()), **given)

    @property
    def revision(self) -> int:
        """The store's revision now."""
        return self.etcd.store.revision

    def key(self, box: str) -> bytes:
        """A box's key."""
        return f"{PREFIX}boxes/{box}".encode()

    def put_op(self, box: Box, lease: int = 0) -> pb.RequestOp:
        """Put a box, as a part of a transaction."""
        asked = pb.PutRequest(key=self.key(box.id), value=write_box(box), lease=lease)
        return pb.RequestOp(request_put=asked)

    def delete_op(self, box: str) -> pb.RequestOp:
        """Delete a box, as a part of a transaction."""
        return pb.RequestOp(request_delete_range=pb.DeleteRangeRequest(key=self.key(box)))

    def do(self, *operations: pb.RequestOp) -> int:
        """One transaction; its revision."""
        self.etcd.store.transact(pb.TxnRequest(success=operations))
        return self.revision

    def put(self, *boxes: Box) -> int:
        """Put boxes in one transaction; its revision."""
        return self.do(*[self.put_op(box) for box in boxes])

    def under(self, key: str) -> list[pb.KeyValue]:
        """What there is below a part of the prefix."""
        name = f"{PREFIX}{key}".encode()
        return list(self.etcd.store.range(pb.RangeRequest(key=name, range_end=prefix_range_end(name))).kvs)

    def raw(self, key: str, value: bytes) -> int:
        """Put any value under the prefix; its revision."""
        self.etcd.store.put(pb.PutRequest(key=f"{PREFIX}{key}".encode(), value=value))
        return self.revision


def listed(deployment: Deployment, state: State = State.READY, zones: int = 0) -> list[Box]:
    """A deployment's boxes as etcd is told of them; in so many zones, dealt out in turn."""
    return [
        Box(box.name, box.listener.address, state, zone=f"z{n % zones}" if zones else "")
        for n, box in enumerate(deployment.boxes)
    ]


@contextlib.asynccontextmanager
async def with_word(
    folder: Path,
    gateways: int,
    lease: int = 200,
    wait: int = 100,
    edit: Callable[[str], str] = str,
    env: Mapping[str, str] | None = None,
    boxes: int = 6,
    keyed: bool = False,
    seed: int = 1,
    word: bool = True,
    rate: float = 50.0,
    zones: int = 0,
    last: Callable[[str], str] = str,
) -> AsyncIterator[tuple[Deployment, Cluster]]:
    """Instances in zones of their own whose links can fail, with the fleet's word in a stand-in etcd.

    `lease` and `wait` are the milliseconds of `[takeover]`; `word`: whether it is asked; `zones`: so many, of
    boxes too, that are left as a fleet; `last` has the last word on operator files.
    """
    cluster = Cluster()
    await cluster.etcd.open()
    by_etcd = operator((cluster,))

    def whole(text: str) -> str:
        asked = f"word = {str(word).lower()}\nlease_ms = {lease}\nwait_ms = {wait}\n"
        text = edit(by_etcd(text)).replace("[takeover]\n", f"[takeover]\n{asked}")
        return last(in_zones(text, zones, ZONES) if zones else text)

    deployment = Deployment(
        folder,
        gateways,
        rate,
        seed,
        boxes,
        whole,
        env,
        takeover=True,
        zones=zones or gateways,
        wires=True,
        keyed=keyed,
    )
    try:
        await start(deployment, cluster, zones)
        yield deployment, cluster
    finally:
        deployment.close()
        cluster.etcd.close()
        for gateway in deployment.gateways:
            with contextlib.suppress(ProcessLookupError):
                gateway.process.send_signal(signal.SIGCONT)
            await gateway.process.wait()


async def start(deployment: Deployment, cluster: Cluster, zones: int) -> None:
    """Start a deployment whose boxes are there, in so many zones, once they listen."""
    starting = asyncio.ensure_future(deployment.start())
    try:
        while len(deployment.boxes) < deployment.box_count and not starting.done():
            await asyncio.sleep(0.01)
        cluster.put(*listed(deployment, zones=zones))
        await starting
    finally:
        starting.cancel()


def in_zones(text: str, zones: int, table: str = "\n[zones]\n") -> str:
    """An operator file by which boxes in so many zones are left as a fleet."""
    names = ", ".join(f'"z{n}"' for n in range(zones))
    return text.replace("[boxes]\n", f"[boxes]\nzones = [{names}]\n") + table


def operator(clusters: Iterable[Cluster], more: str = "") -> Callable[[str], str]:
    """What makes an operator file take its boxes from there; `more` goes into the table."""

    def edit(text: str) -> str:
        lines = [line for line in text.split("\n") if not line.startswith("discovery = ")]
        places = ", ".join(f'"127.0.0.1:{cluster.etcd.address[1]}"' for cluster in clusters)
        table = f'[boxes.etcd]\nendpoints = [{places}]\nprefix = "{PREFIX}"\n{more}\n'
        return "\n".join(lines).replace("[counter]", table + "\n[counter]")

    return edit
