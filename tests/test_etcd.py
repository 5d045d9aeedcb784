"""Gateways whose boxes and settings come from etcd, while its wire, its revisions and its quorum fail."""

import asyncio
import contextlib
import json
import random
import subprocess
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from lynxreel.cli.main import main
from lynxreel.etcd import client
from lynxreel.etcd import rpc_pb2 as pb
from lynxreel.etcd.client import Options
from lynxreel.jsonlines import ask
from lynxreel.local.by_etcd import PREFIX, Cluster, listed, operator
from lynxreel.local.deployment import Deployment, Gateway
from lynxreel.membership.core import Box, Publish
from lynxreel.membership.document import write
from lynxreel.sources.etcd import EtcdList, EtcdSource
from lynxreel.standins.etcd import server_tls
from lynxreel.standins.faults import Fault, Kind
from mothgap.interface import State
from tests.fleet import BROKEN, log_of, run

GRACE = 0.5  # seconds after a drain was told in which sends may still leave


def drained(deployment: Deployment, number: int) -> Box:
    return Box(deployment.boxes[number].name, deployment.boxes[number].listener.address, State.DRAINING)


@contextlib.asynccontextmanager
async def by_etcd(
    folder: Path,
    *clusters: Cluster,
    gateways: int = 2,
    boxes: int = 6,
    rate: float = 100.0,
    more: str = "",
    early: bool = True,
) -> AsyncIterator[Deployment]:
    """Gateways whose boxes are on etcd; `early`: before the gateways begin."""
    if early:
        for cluster in clusters:
            await cluster.etcd.open()
    deployment = Deployment(folder, gateways, rate, 1, boxes, operator(clusters, more))
    starting = asyncio.ensure_future(deployment.start())
    try:
        while len(deployment.boxes) < boxes:
            await asyncio.sleep(0.01)
        if early:
            for cluster in clusters:
                cluster.put(*listed(deployment))
            await starting
        yield deployment
        if not early:
            await starting
    finally:
        starting.cancel()
        deployment.close()
        for cluster in clusters:
            cluster.etcd.close()
        for gateway in deployment.gateways:
            await gateway.process.wait()


async def seen(gateway: Gateway) -> dict[str, Any]:
    """What an instance believes of its boxes."""
    found: dict[str, Any] = await asyncio.to_thread(ask, str(gateway.place.queries), "boxes")
    return found


async def follows(deployment: Deployment, revision: int) -> None:
    """Wait until all instances go by this revision."""
    for gateway in deployment.gateways:
        while (await seen(gateway))["revision"] < revision:
            await asyncio.sleep(0.02)


async def served(deployment: Deployment, count: int) -> None:
    """Wait until so many more requests have been served."""
    wanted = deployment.ledger.total("served") + count
    while deployment.ledger.total("served") < wanted:
        await asyncio.sleep(0.01)


def now() -> float:
    return asyncio.get_running_loop().time()


async def over(deployment: Deployment, play: asyncio.Future[None]) -> None:
    """The end of a play: no rule is broken."""
    await play
    await deployment.front.settle(10)
    books = deployment.ledger.report()
    assert not any(books[what] for what in BROKEN), books["problems"]


def test_a_drain_is_kept_everywhere_and_an_ended_lease_is_one_too(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def scenario() -> None:
        cluster = Cluster()
        async with by_etcd(tmp_path, cluster) as deployment:
            store = cluster.etcd.store
            lease, _ = store.grant(0, 1)
            leased = listed(deployment)[1]
            cluster.do(cluster.put_op(leased, lease))
            play = asyncio.ensure_future(deployment.play(5.0))
            await served(deployment, 20)
            config = str(deployment.gateways[0].config)
            name = deployment.boxes[0].name
            assert await asyncio.to_thread(main, ["boxes", "--config", config, "drain", name]) == 0
            told = now()
            assert f"{name} is draining" in capsys.readouterr().out
            while lease in store.leases:
                await asyncio.sleep(0.01)
            ended = now()
            await over(deployment, play)
            assert [at for at in deployment.boxes[0].came if at > told + GRACE + 0.1] == []
            assert [at for at in deployment.boxes[1].came if at > ended + GRACE + 0.1] == []
            assert deployment.boxes[1].came
            states = {box["id"]: box["state"] for box in (await seen(deployment.gateways[1]))["boxes"]}
            assert states[name] == "draining" and leased.id not in states

    run(scenario)


def test_a_drain_within_the_compacted_part_is_worked_out(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = Cluster()
        async with by_etcd(tmp_path, cluster) as deployment:
            play = asyncio.ensure_future(deployment.play(5.0))
            await served(deployment, 20)
            lists = cluster.etcd.ranges
            cluster.faults.on(Fault(Kind.DEAD, target="wire"))
            while cluster.etcd.open_streams:
                await asyncio.sleep(0.01)
            cluster.put(drained(deployment, 0))
            cluster.do(cluster.delete_op(deployment.boxes[1].name))
            for number in range(20):
                cluster.raw("other/key", str(number).encode())
            cluster.etcd.store.compact(cluster.revision)
            cluster.faults.off()
            await follows(deployment, cluster.revision)
            told = now()
            await over(deployment, play)
            for number in (0, 1):
                assert [at for at in deployment.boxes[number].came if at > told + GRACE] == []
            assert cluster.etcd.ranges == lists + 2  # one list for each gateway
            assert all("are compacted" in log_of(deployment, number) for number in (0, 1))

    run(scenario)


def test_a_broken_watch_is_resumed_without_a_list(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = Cluster()
        async with by_etcd(tmp_path, cluster) as deployment:
            lists = cluster.etcd.ranges
            for number in range(5):
                cluster.etcd.proxy.cut()
                cluster.put(*[Box(box.id, box.address, cell=number) for box in listed(deployment)[:2]])
                await follows(deployment, cluster.revision)
            assert cluster.etcd.ranges == lists

    run(scenario)


def test_a_burst_of_500_changes_sends_nothing_to_a_box_that_is_gone(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = Cluster()
        async with by_etcd(tmp_path, cluster, boxes=20, rate=300.0) as deployment:
            play, draw = asyncio.ensure_future(deployment.play(4.0)), random.Random(5)
            while not all(box.came for box in deployment.boxes[:6]):  # each that will go has had work before
                await asyncio.sleep(0.01)
            boxes, gone = listed(deployment), dict[int, float]()
            for number in range(500):
                if number % 80 == 40:
                    victim = number // 80  # 0 to 5, for good
                    cluster.do(cluster.delete_op(boxes[victim].id))
                    gone[victim] = now()
                else:
                    other = draw.randrange(6, 20)
                    cluster.put(Box(boxes[other].id, boxes[other].address, weight=1.0 + number % 3))
                await asyncio.sleep(0.002)
            await follows(deployment, cluster.revision)
            await over(deployment, play)
            assert len(gone) == 6
            for victim, at in gone.items():
                assert deployment.boxes[victim].came
                # What was being sent when the news came may still arrive, and retries of it; nothing new.
                late = [when - at for when in deployment.boxes[victim].came if when > at + 0.2]
                assert late == []

    run(scenario)


def test_drained_deleted_and_put_back_elsewhere_in_one_batch(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = Cluster()
        async with by_etcd(tmp_path, cluster, boxes=6) as deployment:
            first, spare = deployment.boxes[0], deployment.boxes[5]
            cluster.do(cluster.delete_op(spare.name))
            await follows(deployment, cluster.revision)
            play = asyncio.ensure_future(deployment.play(4.0))
            await served(deployment, 30)
            came = len(spare.came)
            cluster.put(drained(deployment, 0))
            cluster.do(cluster.delete_op(first.name))
            cluster.put(Box(first.name, spare.listener.address, started=1_000_000))
            await follows(deployment, cluster.revision)
            told = now()
            await over(deployment, play)
            assert [at for at in first.came if at > told + GRACE] == []
            assert len(spare.came) > came  # it serves under the other one's name

    run(scenario)


def test_a_revision_in_fragments_is_taken_whole_though_the_wire_is_cut_anywhere(tmp_path: Path) -> None:
    """By the source alone: each revision gives all boxes its own cell, so a part of one would show."""

    async def scenario() -> None:
        cluster = Cluster(fragment_bytes=150)
        await cluster.etcd.open()
        boxes = [Box(f"b{n}", ("127.0.0.1", 7_000 + n)) for n in range(20)]
        cluster.put(*boxes)
        known: dict[str, Box] = {}
        cells, torn = list[int](), list[Publish]()

        def take(news: Publish) -> None:
            known.update((box.id, box) for box in news.changed)
            cells.append(known["b0"].cell)
            if {box.cell for box in known.values()} != {cells[-1]}:
                torn.append(news)

        listing = EtcdList(Options((cluster.etcd.address,)), PREFIX)
        source = EtcdSource(listing, take, asyncio.get_running_loop(), random.Random(1))
        await source.ready.wait()
        cluster.faults.on(Fault(Kind.RESET, share=0.15, target="wire"))
        for cell in range(1, 120):
            cluster.put(*[Box(box.id, box.address, cell=cell) for box in boxes])
            await asyncio.sleep(0.03)
        cluster.faults.off()
        while not cells or cells[-1] != 119:
            await asyncio.sleep(0.01)
        assert torn == []
        assert cells == sorted(cells)
        assert cluster.etcd.proxy.cuts > 10
        assert len(cells) > 30
        source.close()
        cluster.etcd.close()

    run(scenario)


def test_a_watch_that_is_open_and_silent_is_found_out(tmp_path: Path) -> None:
    async def scenario() -> None:
        silent, sound = Cluster(), Cluster()
        # Two endpoints of one cluster: the second one's store is the first one's.
        sound.etcd.store = silent.etcd.store
        await silent.etcd.open()
        await sound.etcd.open()
        silent.etcd.store.changed = lambda: (silent.etcd._changed(), sound.etcd._changed())  # type: ignore
        boxes = [Box(f"b{n}", ("127.0.0.1", 7_000 + n)) for n in range(4)]
        silent.put(*boxes)
        heard = asyncio.Queue[Publish]()
        places = (silent.etcd.address, sound.etcd.address)
        loop = asyncio.get_running_loop()
        source = EtcdSource(EtcdList(Options(places), PREFIX), heard.put_nowait, loop, random.Random(1))
        await heard.get()
        while source.view()["phase"] != "watching":
            await asyncio.sleep(0.01)
        quiet = (silent, sound)[source.list_watch.endpoint]
        quiet.faults.on(Fault(Kind.MUTE))
        silent.put(Box("b0", boxes[0].address, State.DRAINING))
        began = loop.time()
        assert (await heard.get()).changed[0].state is State.DRAINING
        assert loop.time() - began < 7.0  # 2 s idle, 3 s for an answer, and the way to the other one
        assert quiet.etcd.asked_progress == 1
        source.close()
        for cluster in (silent, sound):
            cluster.etcd.close()

    run(scenario)


# Guards against calls that are given up after a fixed time, for ever, where etcd is steadily slower.
def test_an_etcd_that_is_slower_than_the_timeout_of_a_call_is_followed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        cluster = Cluster()
        await cluster.etcd.open()
        cluster.etcd.users["root"] = "secret"
        cluster.put(*[Box(f"b{n}", ("127.0.0.1", 7_000 + n)) for n in range(4)])
        cluster.faults.on(Fault(Kind.SLOW, delay=0.2))
        heard = asyncio.Queue[Publish]()
        listing = EtcdList(Options((cluster.etcd.address,), "root", "secret"), PREFIX)
        source = EtcdSource(listing, heard.put_nowait, asyncio.get_running_loop(), random.Random(1))
        assert len((await heard.get()).changed) == 4
        cluster.put(Box("b0", ("127.0.0.1", 7_000), State.DRAINING))
        assert (await heard.get()).changed[0].state is State.DRAINING
        source.close()
        cluster.etcd.close()

    monkeypatch.setattr(client, "CALL_TIMEOUT", 0.1)
    run(scenario)


def test_of_two_endpoints_that_disagree_the_one_that_goes_on_is_followed(tmp_path: Path) -> None:
    async def scenario() -> None:
        right, stray = Cluster(seed=1), Cluster(seed=2)
        stray.faults.on(Fault(Kind.DEAD, target="wire"))
        async with by_etcd(tmp_path, right, stray) as deployment:
            stray.do(*[stray.delete_op(box.name) for box in deployment.boxes[1:]])
            right.faults.on(Fault(Kind.DEAD, target="wire"))
            stray.faults.off()
            for number in range(2):
                while "is of cluster" not in log_of(deployment, number):
                    await asyncio.sleep(0.02)
            right.faults.off()
            right.put(drained(deployment, 0))
            await follows(deployment, right.revision)
            for gateway in deployment.gateways:
                assert len((await seen(gateway))["boxes"]) == 6

    run(scenario)


def test_a_restored_backup_is_taken_as_it_stands(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = Cluster()
        async with by_etcd(tmp_path, cluster) as deployment:
            backup = cluster.revision
            cluster.put(drained(deployment, 0))
            for number in range(10):
                cluster.raw("other/key", str(number).encode())
            await follows(deployment, cluster.revision - 10)
            cluster.etcd.restore(backup)
            for number, gateway in enumerate(deployment.gateways):
                while (await seen(gateway))["revision"] != backup:
                    await asyncio.sleep(0.02)
                assert "taken as a new start" in log_of(deployment, number)
                assert {box["state"] for box in (await seen(gateway))["boxes"]} == {"ready"}
            # And it is followed from there, though its revisions have been used before.
            cluster.put(drained(deployment, 1))
            for gateway in deployment.gateways:
                while "draining" not in {box["state"] for box in (await seen(gateway))["boxes"]}:
                    await asyncio.sleep(0.02)

    run(scenario)


def test_without_a_quorum_the_last_state_stays_and_a_drain_comes_with_its_return(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """3 s here; `make bench ARGS=etcd:quorum` has the 30 s."""

    async def scenario() -> None:
        cluster = Cluster()
        async with by_etcd(tmp_path, cluster) as deployment:
            play = asyncio.ensure_future(deployment.play(6.0))
            await served(deployment, 20)
            cluster.faults.on(Fault(Kind.QUORUM))
            config = str(deployment.gateways[0].config)
            name = deployment.boxes[0].name
            words = ["boxes", "--config", config, "drain", name]
            drain = asyncio.ensure_future(asyncio.to_thread(main, words))
            before = deployment.ledger.total("served")
            await asyncio.sleep(3.0)
            assert deployment.ledger.total("served") > before + 100
            assert not drain.done()
            cluster.faults.off()
            assert await drain == 0
            told = now()
            await follows(deployment, cluster.revision)
            await over(deployment, play)
            assert [at for at in deployment.boxes[0].came if at > told + GRACE + 0.1] == []

    run(scenario)


def test_a_token_that_ends_costs_a_new_one_and_no_news(tmp_path: Path) -> None:
    async def scenario() -> None:
        (tmp_path / "password").write_text("secret\n")
        more = f'username = "lx"\npassword_file = "{tmp_path / "password"}"'
        cluster = Cluster(users={"lx": "secret"})
        async with by_etcd(tmp_path, cluster, more=more) as deployment:
            for number in range(3):
                cluster.etcd.expire_tokens()
                cluster.etcd.proxy.cut()
                cluster.put(Box(deployment.boxes[0].name, deployment.boxes[0].listener.address, cell=number))
                await follows(deployment, cluster.revision)
            config = str(deployment.gateways[0].config)
            drain = ["boxes", "--config", config, "drain", deployment.boxes[0].name]
            assert await asyncio.to_thread(main, drain) == 0
            await follows(deployment, cluster.revision)

    run(scenario)


def certificates(folder: Path) -> dict[str, Path]:
    """An authority, and certificates of its for a server and a client; and one of another authority."""

    def openssl(*words: str) -> None:
        subprocess.run(["openssl", *words], check=True, capture_output=True, cwd=folder)

    for authority, names in (("ca", ("server", "client")), ("other", ("stranger",))):
        curve = ["-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:prime256v1", "-nodes"]
        openssl("req", "-x509", *curve, "-days", "2", "-subj", f"/CN={authority}",
                "-keyout", f"{authority}.key", "-out", f"{authority}.pem")  # fmt: skip
        for name in names:
            (folder / "names").write_text("subjectAltName=IP:127.0.0.1")
            openssl("req", *curve, "-subj", f"/CN={name}", "-keyout", f"{name}.key", "-out", f"{name}.csr")
            openssl("x509", "-req", "-in", f"{name}.csr", "-CA", f"{authority}.pem", "-days", "2",
                    "-CAkey", f"{authority}.key", "-CAcreateserial", "-out", f"{name}.pem",
                    "-extfile", "names")  # fmt: skip
    return {path.name: path for path in folder.iterdir()}


def test_a_certificate_that_does_not_fit_is_told_and_one_that_does_works(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def scenario() -> None:
        files = certificates(tmp_path)
        tls = server_tls(files["server.pem"], files["server.key"], files["ca.pem"])
        cluster = Cluster(tls=tls)

        def more(ca: str, name: str) -> str:
            return "\n".join([
                "tls = true", f'ca_file = "{files[ca]}"',
                f'certificate_file = "{files[name + ".pem"]}"', f'key_file = "{files[name + ".key"]}"',
            ])  # fmt: skip

        async with by_etcd(tmp_path, cluster, more=more("ca.pem", "client")) as deployment:
            cluster.put(drained(deployment, 0))
            await follows(deployment, cluster.revision)
            name = deployment.boxes[1].name
            for ca, client, told in (
                ("other.pem", "client", "certificate verify failed"),
                ("ca.pem", "stranger", ""),  # the server ends the connection; how it is told differs
            ):
                deployment._edit = operator([cluster], more(ca, client))
                config = deployment.write_file(0, deployment.gateways[0].gate.address)
                revision = cluster.revision
                assert await asyncio.to_thread(main, ["boxes", "--config", str(config), "drain", name]) != 0
                assert cluster.revision == revision
                assert told in capsys.readouterr().err

    run(scenario)


def test_etcd_and_gateways_may_start_at_once_and_in_any_order(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = Cluster()
        cluster.faults.on(Fault(Kind.DEAD, target="wire"))
        await cluster.etcd.open()
        async with by_etcd(tmp_path, cluster, early=False) as deployment:
            while len(deployment.gateways) < 2 or any(
                "endpoint 0" not in log_of(deployment, number) for number in range(2)
            ):
                await asyncio.sleep(0.01)
            cluster.faults.off()  # it is there now, and empty
            while cluster.etcd.open_streams < 2:
                await asyncio.sleep(0.01)
            assert all(gateway.place.read()["state"] == "starting" for gateway in deployment.gateways)
            cluster.put(*listed(deployment))
        assert all("no box" not in log_of(deployment, number) for number in range(2))

    run(scenario)


def test_a_value_that_can_not_be_read_hides_no_other_and_a_pool_is_not_emptied(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def scenario() -> None:
        cluster = Cluster()
        async with by_etcd(tmp_path, cluster) as deployment:
            gateway = deployment.gateways[0]
            cluster.raw("boxes/odd", b'{"address": "nowhere"}')
            cluster.put(drained(deployment, 0))
            await follows(deployment, cluster.revision)
            found = await seen(gateway)
            assert "no address" in found["unreadable"]["odd"]
            assert {box["id"]: box["state"] for box in found["boxes"]}[deployment.boxes[0].name] == "draining"
            cluster.do(*[cluster.delete_op(box.name) for box in deployment.boxes])
            await follows(deployment, cluster.revision)
            found = await seen(gateway)
            assert "no box of 5 would be left" in found["held"]
            assert len(found["boxes"]) == 6
            document, config = tmp_path / "boxes.json", ["boxes", "--config", str(gateway.config)]
            document.write_bytes(write(0, listed(deployment)[:4]))
            assert await asyncio.to_thread(main, [*config, "put", str(document)]) == 0
            await follows(deployment, cluster.revision)
            found = await seen(gateway)
            assert (found["held"], len(found["boxes"]), found["unreadable"]) == ("", 4, {})
            assert await asyncio.to_thread(main, [*config, "put", str(document)]) == 0
            assert "no change" in capsys.readouterr().out
            document.write_text("{")
            assert await asyncio.to_thread(main, [*config, "put", str(document)]) == 65
            assert await asyncio.to_thread(main, [*config, "drain", "nobody"]) == 1

    run(scenario)


def test_settings_of_one_transaction_are_taken_together_or_not_at_all(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = Cluster()
        async with by_etcd(tmp_path, cluster, more="settings = true") as deployment:
            gateway = deployment.gateways[0]

            def settings() -> dict[str, Any]:
                found: dict[str, Any] = gateway.place.read()["settings"]
                return found

            def op(key: str, value: object) -> pb.RequestOp:
                key = f"{PREFIX}settings/{key}"
                return pb.RequestOp(
                    request_put=pb.PutRequest(key=key.encode(), value=json.dumps(value).encode())
                )

            plan = {"rate": 9.0, "burst": 90.0}
            good = cluster.do(op("limits", {"max_attempts": 2}), op("plans/extra", plan))
            while settings()["revision"] != good:
                await asyncio.sleep(0.02)
            log = log_of(deployment)
            assert "limits.max_attempts: 4 is now 2" in log and "plans.extra: is new" in log
            cluster.do(op("limits", {"max_attempts": 3}), op("plans/extra", {"rate": -9.0, "burst": 90.0}))
            while not settings()["problems"]:
                await asyncio.sleep(0.02)
            (problem,) = settings()["problems"]
            assert problem.startswith(f"{PREFIX}settings/plans/extra: rate: is '-9.0'; mend:")
            assert settings()["revision"] == good
            # A reload of the file keeps what the source has said.
            deployment.do("reload", (0,))
            while gateway.place.read()["reloads"] < 1:
                await asyncio.sleep(0.02)
            assert "no change" in log_of(deployment).split("refused")[-1]
            cluster.do(op("limits", {"max_attempts": 2}), op("plans/extra", plan))
            while settings()["problems"]:
                await asyncio.sleep(0.02)
            last = cluster.do(op("limits", {}))
            while settings()["revision"] != last:
                await asyncio.sleep(0.02)
            assert "limits.max_attempts: 2 is now 4" in log_of(deployment)

    run(scenario)
