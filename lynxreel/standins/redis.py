"""A stand-in for Redis: RESP2 and RESP3, strings with lives, transactions, a cluster, Sentinels.

Enough that ordinary client libraries work against it unchanged for what counters need. A node can be a
primary, a replica, one that has taken over with adds missing, or a Sentinel. Source: redis.io/commands.
"""

from __future__ import annotations

import asyncio
import math
import random
import ssl
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

import hiredis

from lynxreel.protocol.address import Address
from lynxreel.protocol.redis import SLOTS, slot
from lynxreel.standins.base import Clock, Link, Listener
from lynxreel.standins.faults import Faults, Kind

HISTORY = 5.0  # seconds of writes that a failover can lose
MOST_COMMAND = 1024 * 1024


class Wrong(Exception):
    """An error reply."""


class Simple(str):
    """A simple string, as +OK."""


@dataclass
class Store:
    """The keys of a node: value and end of life in seconds, if any."""

    now: Callable[[], float]
    keys: dict[bytes, tuple[bytes, float]] = field(default_factory=dict)
    writes: deque[tuple[float, bytes, tuple[bytes, float] | None]] = field(default_factory=deque)

    def get(self, key: bytes) -> tuple[bytes, float] | None:
        """A key that is alive."""
        held = self.keys.get(key)
        if held is not None and held[1] <= self.now():
            del self.keys[key]
            return None
        return held

    def put(self, key: bytes, value: bytes, until: float = math.inf) -> None:
        """Set a key; what it was is remembered for a while."""
        now = self.now()
        self.writes.append((now, key, self.get(key)))
        while self.writes[0][0] < now - HISTORY:
            self.writes.popleft()
        self.keys[key] = (value, until)

    def drop(self, key: bytes) -> bool:
        """Remove a key; whether it was there."""
        if self.get(key) is None:
            return False
        self.writes.append((self.now(), key, self.keys.pop(key)))
        return True

    def lose(self, span: float) -> None:
        """Take back the writes of the last `span` seconds, as a failover to a replica does."""
        since = self.now() - span
        while self.writes and self.writes[-1][0] > since:
            _, key, before = self.writes.pop()
            if before is None:
                self.keys.pop(key, None)
            else:
                self.keys[key] = before

    def evict(self, share: float, draw: random.Random) -> None:
        """Drop that share of the keys, as under memory pressure."""
        for key in [key for key in self.keys if draw.random() < share]:
            del self.keys[key]


@dataclass
class Ring:
    """A cluster: which node has which slots, and where a slot is going."""

    owners: list[Address]  # by slot
    going: dict[int, Address] = field(default_factory=dict)  # slots that are moving, and where to

    @classmethod
    def even(cls, nodes: list[Address]) -> Ring:
        """Slots dealt out in ranges."""
        return cls([nodes[number * len(nodes) // SLOTS] for number in range(SLOTS)])

    def ranges(self) -> list[tuple[int, int, Address]]:
        """First and last slot, and the node."""
        found: list[tuple[int, int, Address]] = []
        for number, owner in enumerate(self.owners):
            if found and found[-1][2] == owner:
                found[-1] = (found[-1][0], number, owner)
            else:
                found.append((number, number, owner))
        return found


class Redis:
    """One node."""

    def __init__(self, faults: Faults, clock: Clock, name: str = "redis", password: str = "") -> None:
        self.store = Store(clock.now)
        self.faults, self.clock, self.name, self.password = faults, clock, name, password
        self.sign_in_delay = 0.0  # seconds
        self.role = "master"
        self.ahead = 0  # microseconds of its clock
        self.ring: Ring | None = None
        self.masters: dict[str, Address] = {}  # of a Sentinel, by name
        self.calls = 0  # commands
        self.adds = 0  # INCRBYFLOATs carried out
        self._random = random.Random(1)
        self.listener = Listener(name, faults, clock, lambda listener: _RedisLink(listener, self))

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self.listener.address

    async def open(self, host: str = "127.0.0.1", port: int = 0, tls: ssl.SSLContext | None = None) -> None:
        """Listen."""
        self.listener.tls = tls
        await self.listener.open(host, port)

    def total(self, name: str) -> float:
        """What a key holds as a number; 0 where there is none."""
        held = self.store.get(name.encode())
        return float(held[0]) if held is not None else 0.0

    def fail_over(self, other: Redis, span: float) -> None:
        """`other` takes this node's place with all but the last `span` seconds of its writes."""
        self.store.lose(span)
        other.store.keys = dict(self.store.keys)
        other.role, self.role = "master", "slave"
        for link in list(self.listener.links):
            link.reset()

    def evict(self, share: float) -> None:
        """Drop keys."""
        self.store.evict(share, self._random)


class _RedisLink(Link):
    """One connection."""

    def __init__(self, listener: Listener, redis: Redis) -> None:
        super().__init__(listener)
        self._redis = redis
        self._reader = hiredis.Reader()
        self._protocol = 2
        self._known = not redis.password
        self._queue: list[list[bytes]] | None = None  # of a transaction
        self._broken = False  # a command of the transaction was refused
        self._asking = False
        self._free_at = 0.0
        self._mute = False

    def data_received(self, data: bytes) -> None:
        """Commands."""
        try:
            self._reader.feed(data)
            while (words := self._reader.gets()) is not False:
                if not isinstance(words, list) or not all(isinstance(word, bytes) for word in words):
                    raise hiredis.ProtocolError("no command")
                self._command(cast(list[bytes], words))
        except hiredis.ProtocolError as wrong:
            self.write(b"-ERR Protocol error: %b\r\n" % str(wrong).encode())
            self.transport.close()

    def _command(self, words: list[bytes]) -> None:
        redis = self._redis
        redis.calls += 1
        name = words[0].upper().decode("latin-1")
        try:
            reply: Any = self._run(name, words)
        except Wrong as wrong:
            self._broken |= self._queue is not None
            reply = wrong
        delay = redis.sign_in_delay if name in ("HELLO", "AUTH") else 0.0
        if name in ("EXEC", "INCRBYFLOAT", "GET", "EVAL") and self._queue is None:
            fault = redis.faults.pick(redis.name, redis.clock.now())
            if fault is not None and fault.kind is Kind.RESET:
                self.reset()
                return
            if fault is not None and fault.kind is Kind.SPOILT:
                self.write(b"!much\r\n")
                return
            self._mute |= fault is not None and fault.kind is Kind.SILENT
            delay = fault.delay if fault is not None and fault.kind is Kind.SLOW else 0.0
        if self._mute:
            return
        loop = asyncio.get_running_loop()
        self._free_at = max(self._free_at, loop.time() + delay)
        data = self._pack(reply)
        if self._free_at <= loop.time():
            self.write(data)
        else:
            loop.call_at(self._free_at, self.write, data)

    def _run(self, name: str, words: list[bytes]) -> Any:
        if name in ("HELLO", "AUTH", "QUIT"):
            return getattr(self, f"_{name.lower()}")(words)
        if not self._known:
            raise Wrong("NOAUTH Authentication required.")
        asking, self._asking = self._asking and name != "ASKING", name == "ASKING"
        if name == "MULTI":
            if self._queue is not None:
                raise Wrong("ERR MULTI calls can not be nested")
            self._queue, self._broken, self._asking = [], False, asking
            return Simple("OK")
        if name in ("EXEC", "DISCARD"):
            if self._queue is None:
                raise Wrong(f"ERR {name} without MULTI")
            queue, broken, self._queue = self._queue, self._broken, None
            self._broken = False
            if name == "DISCARD":
                return Simple("OK")
            if broken:
                raise Wrong("EXECABORT Transaction discarded because of previous errors.")
            return [self._one(held[0].upper().decode("latin-1"), held) for held in queue]
        if self._queue is not None:
            self._asking = asking  # it holds for the whole transaction
            self._check(name, words, asking)
            self._queue.append(words)
            return Simple("QUEUED")
        self._check(name, words, asking)
        return self._one(name, words, raised=True)

    def _check(self, name: str, words: list[bytes], asking: bool) -> None:
        """What is refused before it is done: unknown, elsewhere, or by a replica."""
        redis = self._redis
        if name not in COMMANDS:
            raise Wrong(f"ERR unknown command '{name}'")
        least, keyed, writes = COMMANDS[name]
        if len(words) < least:
            raise Wrong(f"ERR wrong number of arguments for '{name.lower()}' command")
        fault = redis.faults.pick(redis.name, redis.clock.now()) if writes else None
        if fault is not None and fault.kind is Kind.REFUSE:
            raise Wrong("OOM command not allowed when used memory > 'maxmemory'.")
        if keyed and redis.ring is not None:
            number = slot(words[1])
            owner, going = redis.ring.owners[number], redis.ring.going.get(number)
            if owner != redis.address and not (asking and going == redis.address):
                raise Wrong(f"MOVED {number} {owner[0]}:{owner[1]}")
            if owner == redis.address and going is not None and redis.store.get(words[1]) is None:
                raise Wrong(f"ASK {number} {going[0]}:{going[1]}")
        if writes and redis.role != "master":
            raise Wrong("READONLY You can't write against a read only replica.")

    def _one(self, name: str, words: list[bytes], raised: bool = False) -> Any:
        try:
            plain = name not in ("ASKING", "COMMAND")  # whose names the connection itself has
            return getattr(self, f"_{name.lower()}" if plain else f"_do_{name.lower()}")(words)
        except Wrong as wrong:
            if raised:
                raise
            return wrong
        except (ValueError, IndexError):
            if raised:
                raise Wrong("ERR syntax error") from None
            return Wrong("ERR syntax error")

    # --- the connection ---------------------------------------------------------------------------------

    def _hello(self, words: list[bytes]) -> Any:
        protocol = self._protocol
        if len(words) > 1:
            protocol = int(words[1])
            if protocol not in (2, 3):
                raise Wrong("NOPROTO unsupported protocol version")
        if len(words) > 4 and words[2].upper() == b"AUTH":
            self._login(words[4])
        if not self._known:
            raise Wrong("NOAUTH HELLO must be called with the client already authenticated")
        self._protocol = protocol
        told = {"server": "redis", "version": "7.2.0", "proto": protocol, "id": 1, "mode": "standalone"}
        return {**told, "role": self._redis.role, "modules": []}

    def _login(self, password: bytes) -> None:
        if password.decode() != self._redis.password:
            raise Wrong("WRONGPASS invalid username-password pair or user is disabled.")
        self._known = True

    def _auth(self, words: list[bytes]) -> Any:
        if not self._redis.password:
            raise Wrong("ERR AUTH <password> called without any password configured for the default user.")
        self._login(words[-1])
        return Simple("OK")

    def _quit(self, words: list[bytes]) -> Any:
        asyncio.get_running_loop().call_soon(self.transport.close)
        return Simple("OK")

    def _ping(self, words: list[bytes]) -> Any:
        return words[1] if len(words) > 1 else Simple("PONG")

    def _select(self, words: list[bytes]) -> Any:
        return Simple("OK")

    def _client(self, words: list[bytes]) -> Any:
        return 1 if words[1].upper() == b"ID" else Simple("OK")

    def _do_asking(self, words: list[bytes]) -> Any:
        return Simple("OK")

    def _readonly(self, words: list[bytes]) -> Any:
        return Simple("OK")

    def _do_command(self, words: list[bytes]) -> Any:
        known = [(name.lower().encode(), keyed) for name, (_, keyed, _) in COMMANDS.items()]
        return [[name, -1, [], int(keyed), int(keyed), int(keyed)] for name, keyed in known]

    def _time(self, words: list[bytes]) -> Any:
        now = time.time_ns() // 1_000 + self._redis.ahead
        return [b"%d" % (now // 1_000_000), b"%d" % (now % 1_000_000)]

    def _info(self, words: list[bytes]) -> Any:
        role, ring = self._redis.role, self._redis.ring
        return f"redis_version:7.2.0\r\nrole:{role}\r\ncluster_enabled:{int(ring is not None)}\r\n".encode()

    def _role(self, words: list[bytes]) -> Any:
        return [self._redis.role.encode(), 0, []]

    def _cluster(self, words: list[bytes]) -> Any:
        ring = self._redis.ring
        if ring is None:
            raise Wrong("ERR This instance has cluster support disabled")
        if words[1].upper() != b"SLOTS":
            raise Wrong("ERR unknown subcommand")
        return [
            [first, last, [host.encode(), port, f"node-{port}".encode()]]
            for first, last, (host, port) in ring.ranges()
        ]

    def _sentinel(self, words: list[bytes]) -> Any:
        if words[1].upper() == b"GET-MASTER-ADDR-BY-NAME":
            found = self._redis.masters.get(words[2].decode())
            return None if found is None else [found[0].encode(), str(found[1]).encode()]
        if words[1].upper() == b"MASTERS":
            told = {"num-other-sentinels": "0", "flags": "master", "is_master": "yes"}
            return [
                [
                    part.encode()
                    for pair in {"name": name, "ip": host, "port": str(port), **told}.items()
                    for part in pair
                ]
                for name, (host, port) in self._redis.masters.items()
            ]
        raise Wrong("ERR unknown subcommand")

    # --- keys -------------------------------------------------------------------------------------------

    def _get(self, words: list[bytes]) -> Any:
        held = self._redis.store.get(words[1])
        return held[0] if held is not None else None

    def _set(self, words: list[bytes]) -> Any:
        store, now = self._redis.store, self._redis.clock.now()
        options, until, only = [word.upper() for word in words[3:]], math.inf, b""
        while options:
            option = options.pop(0)
            if option in (b"PX", b"EX"):
                until = now + int(options.pop(0)) / (1e3 if option == b"PX" else 1)
            elif option in (b"NX", b"XX"):
                only = option
            else:
                raise ValueError
        there = store.get(words[1]) is not None
        if (only == b"NX" and there) or (only == b"XX" and not there):
            return None
        store.put(words[1], words[2], until)
        return Simple("OK")

    def _incrbyfloat(self, words: list[bytes]) -> Any:
        redis = self._redis
        held = redis.store.get(words[1])
        try:
            total = float(held[0] if held is not None else 0) + float(words[2])
        except ValueError:
            raise Wrong("ERR value is not a valid float") from None
        if not math.isfinite(total):
            raise Wrong("ERR increment would produce NaN or Infinity")
        value = b"%.17g" % total
        redis.store.put(words[1], value, held[1] if held is not None else math.inf)
        redis.adds += 1
        fault = redis.faults.pick(redis.name, redis.clock.now())
        if fault is not None and fault.kind is Kind.BACKWARDS:
            return b"%.17g" % (total * 0.5)
        return value

    def _pexpire(self, words: list[bytes]) -> Any:
        held = self._redis.store.get(words[1])
        if held is None:
            return 0
        self._redis.store.put(words[1], held[0], self._redis.clock.now() + int(words[2]) / 1e3)
        return 1

    def _pttl(self, words: list[bytes]) -> Any:
        held = self._redis.store.get(words[1])
        if held is None:
            return -2
        return -1 if held[1] == math.inf else int((held[1] - self._redis.clock.now()) * 1e3)

    def _del(self, words: list[bytes]) -> Any:
        return sum(self._redis.store.drop(key) for key in words[1:])

    def _exists(self, words: list[bytes]) -> Any:
        return sum(self._redis.store.get(key) is not None for key in words[1:])

    def _keys(self, words: list[bytes]) -> Any:
        prefix = words[1].rstrip(b"*")
        return [key for key in list(self._redis.store.keys) if key.startswith(prefix)]

    def _dbsize(self, words: list[bytes]) -> Any:
        return len(self._redis.store.keys)

    def _flushall(self, words: list[bytes]) -> Any:
        self._redis.store.keys.clear()
        return Simple("OK")

    # --- replies ----------------------------------------------------------------------------------------

    def _pack(self, value: Any) -> bytes:
        if isinstance(value, Simple):
            return b"+%b\r\n" % value.encode()
        if isinstance(value, Wrong):
            return b"-%b\r\n" % str(value).encode()
        if value is None:
            return b"_\r\n" if self._protocol == 3 else b"$-1\r\n"
        if isinstance(value, int):
            return b":%d\r\n" % value
        if isinstance(value, str):
            return self._pack(value.encode())
        if isinstance(value, bytes):
            return b"$%d\r\n%b\r\n" % (len(value), value)
        if isinstance(value, dict):
            parts = [self._pack(part) for pair in value.items() for part in pair]
            head = b"%%%d\r\n" % len(value) if self._protocol == 3 else b"*%d\r\n" % len(parts)
            return head + b"".join(parts)
        return b"*%d\r\n" % len(value) + b"".join(self._pack(part) for part in value)


# Least number of words, whether the second is a key, whether it writes.
COMMANDS = {
    "PING": (1, False, False), "SELECT": (2, False, False), "CLIENT": (2, False, False),
    "ASKING": (1, False, False), "READONLY": (1, False, False), "COMMAND": (1, False, False),
    "TIME": (1, False, False), "INFO": (1, False, False), "ROLE": (1, False, False),
    "CLUSTER": (2, False, False),
    "SENTINEL": (2, False, False), "GET": (2, True, False), "SET": (3, True, True),
    "INCRBYFLOAT": (3, True, True), "PEXPIRE": (3, True, True), "PTTL": (2, True, False),
    "DEL": (2, True, True), "EXISTS": (2, True, False), "KEYS": (2, False, False),
    "DBSIZE": (1, False, False), "FLUSHALL": (1, False, True),
}  # fmt: skip
