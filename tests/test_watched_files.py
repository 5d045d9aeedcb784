"""Tests of the list of boxes from a file: partial writes, replaced files, and lists that remove too much."""

import asyncio
import contextlib
import os
import random
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest

from lynxreel.cli.main import main
from lynxreel.local.deployment import Deployment
from lynxreel.membership.core import Box, Guards, Publish
from lynxreel.membership.document import DocumentError, read, write
from lynxreel.sources.files import FileList, WatchedFile
from mothgap.interface import State
from tests.fleet import Caller, fleet, log_of, run


def make_boxes(count: int, revision: int = 0) -> list[Box]:
    return [Box(f"b{n}", ("127.0.0.1", 7_000 + n), State.READY, cell=revision) for n in range(count)]


# --- the document ---------------------------------------------------------------------------------------


def test_a_document_is_read_as_it_was_written_with_and_without_its_sum() -> None:
    boxes = [*make_boxes(3), Box("d", ("10.0.0.1", 1), State.DRAINING, "m", "a", 2, 0.5, 5_000)]
    whole = write(7, boxes)
    assert read(whole) == (7, boxes)
    assert read(whole.rsplit(b"sha256", 1)[0]) == (7, boxes)


def test_no_truncated_document_is_valid() -> None:
    whole = write(7, make_boxes(3))
    body = whole.rsplit(b"sha256", 1)[0]
    for end in range(len(body) - 1):
        with pytest.raises(DocumentError):
            read(body[:end])


def test_a_mixture_of_two_versions_is_detected_by_its_sum() -> None:
    old, new = write(11, make_boxes(3, 1)), write(12, make_boxes(3, 2))
    assert len(old) == len(new)
    for cut in range(0, len(old), 7):
        mixed = new[:cut] + old[cut:]
        if mixed not in (old, new):
            with pytest.raises(DocumentError, match="sum|half"):
                read(mixed)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (b"", "no JSON, or half written"),
        (b"[]", "valid dictionary"),
        (b'{"revision": 1}', "boxes: Field required"),
        (b'{"revision": 1, "revision": 2, "boxes": []}', "a key occurs twice"),
        (b'{"revision": 1, "boxes": [{"id": "a", "address": "x"}]}', r"boxes\[0\].address: .*no address"),
        (b'{"revision": 1, "boxes": [{"id": "a", "address": "x:1", "stat": 1}]}', r"boxes\[0\].stat: Extra"),
        (b'{"revision": 1, "boxes": [{"id": "a", "address": "x:1"}, {"id": "a", "address": "x:2"}]}', "'a'"),
        (b"[" * 100_000, "nested|half written"),
    ],
)
def test_errors_of_an_invalid_document_tell_the_place(text: bytes, message: str) -> None:
    with pytest.raises(DocumentError, match=message):
        read(text)


# --- the watch ------------------------------------------------------------------------------------------


def in_place(path: Path, data: bytes) -> None:
    path.write_bytes(data)


def renamed_over(path: Path, data: bytes) -> None:
    other = path.with_suffix(".new")
    other.write_bytes(data)
    os.replace(other, path)


def swapped_symlink(path: Path, data: bytes) -> None:
    """As Kubernetes updates config maps: the file links into a linked folder, and that link is replaced."""
    folder = path.parent / f"..{random.getrandbits(60):x}"
    folder.mkdir()
    (folder / path.name).write_bytes(data)
    link = path.parent / "..new"
    link.symlink_to(folder.name)
    os.replace(link, path.parent / "..data")
    if not path.is_symlink():
        path.unlink(missing_ok=True)
        path.symlink_to(Path("..data") / path.name)


@pytest.mark.parametrize("replace_file", [in_place, renamed_over, swapped_symlink])
def test_each_way_to_replace_a_file_is_noticed(
    tmp_path: Path, replace_file: Callable[[Path, bytes], None]
) -> None:
    async def scenario() -> None:
        path, published = tmp_path / "boxes.json", asyncio.Queue[Publish]()
        replace_file(path, write(1, make_boxes(2)))
        loop = asyncio.get_running_loop()
        # Polling happens once in a minute only, so the changes noticed here come from inotify.
        watched = WatchedFile(FileList(path), published.put_nowait, loop, quiet=0.02, poll_interval=60.0)
        assert (await published.get()).revision == 1
        await asyncio.sleep(0.3)  # until inotify is set up
        for revision in range(2, 6):
            replace_file(path, write(revision, make_boxes(2, revision)))
            assert (await published.get()).revision == revision
        watched.close()

    run(scenario)


def test_without_inotify_changes_are_found_by_polling(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def none(*_: object, **__: object) -> AsyncIterator[None]:
        await asyncio.Event().wait()
        yield

    monkeypatch.setattr("lynxreel.sources.files.awatch", none)

    async def scenario() -> None:
        path, published = tmp_path / "boxes.json", asyncio.Queue[Publish]()
        loop = asyncio.get_running_loop()
        watched = WatchedFile(FileList(path), published.put_nowait, loop, quiet=0.01, poll_interval=0.02)
        while not watched.refused:
            await asyncio.sleep(0.01)
        assert watched.refused == "it is not there"
        for revision in range(1, 4):
            in_place(path, write(revision, make_boxes(2, revision)))
            assert (await published.get()).revision == revision
        watched.close()

    run(scenario)


def test_thousands_of_partial_writes_never_publish_a_partial_list(tmp_path: Path) -> None:
    """The cell and the number of boxes depend on the version; each published list must match its version."""

    async def scenario() -> None:
        path, published = tmp_path / "boxes.json", list[Publish]()
        rng, loop = random.Random(7), asyncio.get_running_loop()
        known: dict[str, Box] = {}

        def on_publish(update: Publish) -> None:
            published.append(update)
            for box_id in update.removed:
                del known[box_id]
            known.update((box.id, box) for box in update.changed)
            assert {box.cell for box in known.values()} == {update.revision}
            assert len(known) == 3 + update.revision % 5

        guards = Guards(max_removed=1.0, max_flaps=10_000)
        watched = WatchedFile(FileList(path, guards), on_publish, loop, quiet=0.004, poll_interval=0.01)
        for revision in range(1, 2_001):
            whole = write(revision, make_boxes(3 + revision % 5, revision))
            if rng.random() < 0.7:  # partial write: the rest follows in a moment, or never
                cut = rng.randrange(len(whole))
                with path.open("r+b" if path.exists() and rng.random() < 0.5 else "wb") as file:
                    file.write(whole[:cut])
                    file.flush()
                    if rng.random() < 0.1:
                        await asyncio.sleep(0.01)  # long enough to count as stable
                    if rng.random() < 0.5:
                        file.write(whole[cut:])
                        file.truncate()
            else:
                in_place(path, whole)
            if rng.random() < 0.2:
                await asyncio.sleep(0.005)
        in_place(path, write(3_000, make_boxes(3, 3_000)))
        while not published or published[-1].revision != 3_000:
            await asyncio.sleep(0.01)
        assert len(published) > 10
        assert watched.refused == ""
        watched.close()

    run(scenario)


# --- gateways -------------------------------------------------------------------------------------------


@contextlib.asynccontextmanager
async def gateways_with_file(folder: Path) -> AsyncIterator[tuple[Deployment, Path]]:
    """Run two gateways whose boxes come from a file."""
    path = folder / "boxes.json"

    def edit(text: str) -> str:
        lines = [line for line in text.split("\n") if not line.startswith("discovery = ")]
        return "\n".join(lines).replace("[boxes]", f'[boxes]\nfile = "{path}"')

    deployment = Deployment(folder, 2, 100.0, 1, 6, edit)
    starting = asyncio.ensure_future(deployment.start())
    try:
        while len(deployment.boxes) < 6:
            await asyncio.sleep(0.01)
        renamed_over(path, write(1, listed(deployment)))
        await starting
        yield deployment, path
    finally:
        starting.cancel()
        deployment.close()
        for gateway in deployment.gateways:
            await gateway.process.wait()


def listed(deployment: Deployment, draining: tuple[int, ...] = (), gone: tuple[int, ...] = ()) -> list[Box]:
    return [
        Box(box.name, box.listener.address, State.DRAINING if number in draining else State.READY)
        for number, box in enumerate(deployment.boxes)
        if number not in gone
    ]


def test_a_drain_in_the_file_is_kept_by_all_and_a_file_that_empties_the_pool_is_not_applied(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def scenario() -> None:
        async with gateways_with_file(tmp_path) as (deployment, path):
            load = asyncio.ensure_future(deployment.play(5.0))
            drained = deployment.boxes[0]
            while not drained.came:
                await asyncio.sleep(0.01)
            renamed_over(path, write(2, listed(deployment, draining=(0,))))
            announced_at = asyncio.get_running_loop().time()
            await asyncio.sleep(1.5)
            renamed_over(path, write(3, []))
            while any("held" not in log_of(deployment, number) for number in (0, 1)):
                await asyncio.sleep(0.02)
            config = ["boxes", "--config", str(deployment.gateways[0].config)]
            assert await asyncio.to_thread(main, config) == 0
            assert "no box of 5 would be left" in capsys.readouterr().out
            served = deployment.ledger.total("served")
            await asyncio.sleep(0.5)
            assert deployment.ledger.total("served") > served  # the old list is still in force
            path.write_text('{"revision": 4, "boxes": [')
            while any("not taken, the old list stays" not in log_of(deployment, n) for n in (0, 1)):
                await asyncio.sleep(0.02)
            await load
            await deployment.front.settle(10)
            # The drain counts from the write of the file, which is read 0.1 s later, when it is stable.
            assert [at for at in drained.came if at > announced_at + 0.5 + 0.4] == []
            assert await asyncio.to_thread(main, [*config, "--approve"]) == 0
            assert '"boxes": []' in capsys.readouterr().out
            report = deployment.ledger.report()
            broken = {what: report[what] for what in ("lost", "duplicated", "late", "ran_twice")}
            assert not any(broken.values()), report["problems"]

    run(scenario)


def test_boxes_from_discovery_can_be_listed_too(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    async def scenario() -> None:
        async with fleet(tmp_path) as deployment:
            caller = await Caller.to(deployment.gateways[0])
            assert await caller.ping() == b"+PONG"
            config = ["boxes", "--config", str(deployment.gateways[0].config)]
            assert await asyncio.to_thread(main, config) == 0
            assert '"source": "discovery"' in capsys.readouterr().out

    run(scenario)
