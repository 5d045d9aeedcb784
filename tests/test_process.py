"""The program as the deploy file starts it, with a discovery that tells of no change."""

import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path
from typing import Any

import pytest

from tests.process_logs import note
from tests.test_drill import SETTINGS_OBJECT

ROOT = Path(__file__).parent.parent
RUN = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
NAMED = {
    **SETTINGS_OBJECT,
    "classes": [{**SETTINGS_OBJECT["classes"][0], "name": "lookup"}],
    "packages": [{**SETTINGS_OBJECT["packages"][0], "name": "basic"}],
    "limits": {**SETTINGS_OBJECT["limits"], "connIdleUs": 15_000_000, "connectTimeoutUs": 250_000},
}


HEARTBEAT = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"  # a watch and its first line
GATEWAY = "127.91.0.1"  # an address where nothing else takes ports


def free_port() -> int:
    with socket.create_server((GATEWAY, 0)) as taken:
        port: int = taken.getsockname()[1]
        return port


def config(discovery: int, counter: int, listen: int) -> dict[str, Any]:
    server = {"instanceId": "s-1", "hostPort": "127.0.0.1:9", "lifecycle": "SERVING", "startedAtMs": 0}
    return {
        "name": "n0", "listen": f"{GATEWAY}:{listen}", "discovery": f"127.0.0.1:{discovery}", "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "counter": f"127.0.0.1:{counter}",
        "known": {"generation": 41, "reset": True, "instances": [server]}, "settings": NAMED,
    }  # fmt: skip


class Ended(subprocess.Popen[bytes]):
    """A process that does not outlive a test that fails: to wait for it would hang. Its log is looked at."""

    def communicate(self, *given: Any, **named: Any) -> tuple[bytes, bytes]:
        out, err = super().communicate(*given, **named)
        note(err)
        return out, err

    def __exit__(self, kind: type[BaseException] | None, *rest: Any) -> None:
        if kind is not None:
            self.kill()
        if self.stderr is not None and not self.stderr.closed:
            self.wait()
            note(self.stderr.read())
        super().__exit__(kind, *rest)


def start(tmp_path: Path, text: str | None, listener: socket.socket | None = None) -> Ended:
    """`listener`: one that the process inherits, as the platform hands it out."""
    (tmp_path / "config.json").write_text(text or "")
    env = {**os.environ, "EDGE_CONFIG": str(tmp_path / ("config.json" if text is not None else "none.json"))}
    kept = () if listener is None else (listener.fileno(),)
    if listener is not None:
        env["EDGE_LISTEN_FD"] = str(listener.fileno())
    pipe = subprocess.PIPE
    return Ended(["/bin/sh", "-c", RUN], cwd=ROOT, env=env, pass_fds=kept, stdout=pipe, stderr=pipe)


def told(err: bytes) -> list[str]:
    """How its lines on a shutdown begin; it may have written no others."""
    lines = err.decode().splitlines()
    found = [re.fullmatch(r"lynxreel: shutdown \+\d+\.\d{3} s: (.{14}).*", line) for line in lines]
    assert all(found), lines
    return [line[1] for line in found if line]


def connect(port: int, process: subprocess.Popen[bytes]) -> socket.socket:
    while True:
        assert process.poll() is None, process.communicate()
        try:
            return socket.create_connection((GATEWAY, port), timeout=30)
        except ConnectionRefusedError:
            continue


def test_what_it_imports_is_the_platforms_alone() -> None:
    """The operator file's libraries and all that they serve are another program's."""
    code = "import lynxreel.__main__, sys; print(*sys.modules)"
    python = ROOT / ".venv/bin/python"
    loaded = subprocess.run([python, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True).stdout
    others = ("pydantic", "grpclib", "google", "h2", "watchfiles", "hiredis", "rich")
    packages = ("etcd", "membership", "metering", "config", "records", "standins", "local", "cli")
    unwanted = {*others, "lynxreel.daemon.serve", *(f"lynxreel.{name}" for name in packages)}
    assert "lynxreel.node" in loaded.split()
    assert unwanted.isdisjoint(loaded.split())


def test_it_starts_answers_a_ping_and_exits_0_after_sigterm(tmp_path: Path) -> None:
    any_port = ("127.0.0.1", 0)
    with socket.create_server(any_port) as discovery, socket.create_server(any_port) as counter:
        ports = [s.getsockname()[1] for s in (discovery, counter)] + [free_port()]
        with start(tmp_path, json.dumps(config(*ports))) as process:
            watch, _ = discovery.accept()
            assert watch.recv(4096).startswith(b"GET /v1/servers?watch=1&from=41 HTTP/1.1\r\n")
            watch.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
            with watch, connect(ports[2], process) as client:
                client.sendall(b"*1\r\n$4\r\nPING\r\n")
                assert client.recv(64) == b"+PONG\r\n"
                process.send_signal(signal.SIGTERM)
                assert client.recv(64) == b""  # closed as it is idle
                assert process.wait(timeout=30) == 0
            out, err = process.communicate()
            assert (out, told(err)) == (b"", ["leaving, 1 con", "draining, 1 co", "ends; requests"])


@pytest.mark.parametrize(
    "text",
    [
        None,
        "",
        "{nope",
        "[]",
        "{}",
        '{"settings": {}}',
        json.dumps(config(1, 1, 1) | {"listen": "here"}),
        json.dumps(config(1, 1, 1) | {"seed": "xyz"}),
        json.dumps(config(1, 1, 1) | {"operator": "here"}),
        json.dumps(config(1, 1, 1) | {"settings": {"limits": 3}}),
    ],
)
def test_a_bad_configuration_gives_one_line_and_a_non_zero_exit(tmp_path: Path, text: str | None) -> None:
    with start(tmp_path, text) as process:
        out, err = process.communicate(timeout=60)
    assert (process.returncode, out) == (2, b"")
    assert err.startswith(b"lynxreel: ")
    assert err.count(b"\n") == 1


def test_a_sighup_while_a_process_starts_does_not_end_it(tmp_path: Path) -> None:
    any_port = ("127.0.0.1", 0)
    with socket.create_server(any_port) as discovery, socket.create_server(any_port) as counter:
        ports = [s.getsockname()[1] for s in (discovery, counter)] + [free_port()]
        with start(tmp_path, json.dumps(config(*ports))) as process:
            command = Path(f"/proc/{process.pid}/cmdline")
            while not command.read_bytes().endswith(b"\0-m\0lynxreel\0"):
                assert process.poll() is None
            listening = False
            while not listening:
                process.send_signal(signal.SIGHUP)
                assert process.poll() is None, process.communicate()
                with contextlib.suppress(ConnectionRefusedError):
                    socket.create_connection((GATEWAY, ports[2]), timeout=30).close()
                    listening = True
            process.send_signal(signal.SIGTERM)
            assert process.wait(timeout=30) == 0
            process.communicate()


def test_sighup_moves_the_watch_and_the_counter_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    # The default of SIGHUP ends the process. It comes under load, perhaps twice, and perhaps during a stop.
    with contextlib.ExitStack() as stack:
        peers = [stack.enter_context(socket.create_server(("127.0.0.1", 0))) for _ in range(4)]
        (discovery, _, next_discovery, next_counter), listen = peers, free_port()
        ports = [peer.getsockname()[1] for peer in peers]
        process = stack.enter_context(start(tmp_path, json.dumps(config(ports[0], ports[1], listen))))
        watch = stack.enter_context(discovery.accept()[0])
        assert watch.recv(4096).startswith(b"GET ")
        watch.sendall(HEARTBEAT)
        client = stack.enter_context(connect(listen, process))
        client.sendall(b"*1\r\n$4\r\nPING\r\n")
        assert client.recv(64) == b"+PONG\r\n"

        (tmp_path / "config.json").write_text("{nope")
        process.send_signal(signal.SIGHUP)
        assert process.stderr is not None
        assert process.stderr.readline().startswith(b"lynxreel: the new configuration can't be read")

        (tmp_path / "config.json").write_text(json.dumps(config(ports[2], ports[3], listen)))
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGHUP)
        new_watch = stack.enter_context(next_discovery.accept()[0])
        assert new_watch.recv(4096).startswith(b"GET /v1/servers?watch=1&from=41 ")
        watch.setblocking(False)
        with pytest.raises(BlockingIOError):
            watch.recv(4096)  # the old one tells on until the new one does
        watch.setblocking(True)
        new_watch.sendall(HEARTBEAT)
        assert watch.recv(4096) == b""
        for _ in range(2):
            stack.enter_context(next_counter.accept()[0])
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        assert client.recv(64) == b""
        client.close()  # the gateway waits a moment for that before it resets the connection
        assert process.wait(timeout=30) == 0
        out, err = process.communicate()
        assert (out, told(err)) == (b"", ["leaving, 1 con", "draining, 1 co", "ends; requests"])


def test_sighup_moves_a_gateway_that_has_been_told_to_end_and_still_owes_an_answer(tmp_path: Path) -> None:
    # Its servers may leave, and its further attempts are counted, for as long as it owes anything.
    with contextlib.ExitStack() as stack:
        peers = [stack.enter_context(socket.create_server(("127.0.0.1", 0))) for _ in range(5)]
        (discovery, _, next_discovery, _, server), listen = peers, free_port()
        ports = [peer.getsockname()[1] for peer in peers]
        told = config(ports[0], ports[1], listen)
        told["known"]["instances"][0]["hostPort"] = f"127.0.0.1:{ports[4]}"
        patient = {**NAMED["classes"][0], "goalTimeUs": 3_000_000}
        told["settings"] = {**NAMED, "extra": {"counter": False}, "classes": [patient]}
        process = stack.enter_context(start(tmp_path, json.dumps(told)))
        stack.enter_context(discovery.accept()[0])
        client = stack.enter_context(connect(listen, process))
        words = (b"CALL.GET", b"0" * 14 + b"ab", b"1", b"c=lookup,t=basic,d=2900")
        client.sendall(b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words))
        attempt = stack.enter_context(server.accept()[0])
        assert attempt.recv(4096).startswith(b"*4\r\n$8\r\nCALL.GET")
        process.send_signal(signal.SIGTERM)
        while True:  # until its listener is closed: it ends as soon as nothing is owed
            try:
                socket.create_connection((GATEWAY, listen), timeout=30).close()
            except ConnectionResetError:
                continue  # it fell into the close
            except ConnectionRefusedError:
                break
            time.sleep(0.01)  # a flood fills the backlog: a connect then takes a second, and the attempt ends

        told |= {"discovery": f"127.0.0.1:{ports[2]}", "counter": f"127.0.0.1:{ports[3]}"}
        (tmp_path / "config.json").write_text(json.dumps(told))
        process.send_signal(signal.SIGHUP)
        next_discovery.settimeout(1.0)
        watch = stack.enter_context(next_discovery.accept()[0])
        assert watch.recv(4096).startswith(b"GET /v1/servers?watch=1&from=41 ")
        attempt.sendall(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
        assert client.recv(64) == b"$5\r\nvalue\r\n"
        client.close()
        assert process.wait(timeout=30) == 0
