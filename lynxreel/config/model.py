"""The typed model of the operator file. Times carry their unit in the key; a rate is in units a second."""

from __future__ import annotations

from ipaddress import ip_network
from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, model_validator

from lynxreel.fleet.views import View
from lynxreel.protocol.address import read_address


def _address(text: str) -> str:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError("no address: write HOST:PORT, as 127.0.0.1:6379, with a port from 1 to 65535")
    return text


def _network(text: str) -> str:
    try:
        return str(ip_network(text))
    except ValueError as wrong:
        raise ValueError(f"no network: {wrong}; write it as 10.0.0.0/8") from None


SIDES = "ab"  # workers of a supervisor, and of the one that takes over from it
Address = Annotated[str, AfterValidator(_address)]
Network = Annotated[str, AfterValidator(_network)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9._:-]{1,64}$")]
Positive = Annotated[float, Field(gt=0, allow_inf_nan=False)]
NotNegative = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Milliseconds = Annotated[int, Field(gt=0, le=3_600_000)]


class _Table(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class Gateway(_Table):
    """Who this instance is, and where clients reach it."""

    name: Name
    listen: tuple[Address, ...] = Field(min_length=1, strict=False)
    number: int = Field(default=0, ge=0, description="of this instance in its fleet, from 0")
    gateways: int = Field(default=1, ge=1, le=100_000, description="instances in the fleet")
    workers: int = Field(
        default=0, ge=0, le=4_096, description="instances behind each address, supervised; 0: one, alone"
    )

    @model_validator(mode="after")
    def _check(self) -> Gateway:
        if len(set(self.listen)) < len(self.listen):
            raise ValueError("listen names an address twice: leave one out")
        return self


class Fleet(_Table):
    """How many gateways there are, in place of gateway.gateways: where that changes in service."""

    gateways: int = Field(ge=1, le=100_000)
    before: int = Field(default=0, ge=0, le=100_000, description="while it changes: the number so far")

    @model_validator(mode="after")
    def _check(self) -> Fleet:
        if self.before == self.gateways:
            raise ValueError(f"before is {self.before}, as gateways is: leave it out")
        return self


class Limits(_Table):
    """What an instance may hold and do."""

    sockets: int = Field(default=1024, ge=128, description="file descriptors that the process may hold")
    held_mb: float = Field(default=16.0, gt=0, le=65_536, description="of values passed on as they come")
    client_buffers_mb: float = Field(
        default=16.0, gt=0, le=65_536, description="of commands and other answers that are held for clients"
    )
    max_attempts: int = Field(default=4, ge=1, le=16)
    second_copies: bool = False
    cancel: bool = True
    connect_timeout_ms: Milliseconds = 250
    retry_after: bool = True
    max_retry_after_ms: Milliseconds = 5_000
    largest_units: Positive = Field(default=4.0, description="the most units that one request counts")


class Etcd(_Table):
    """An etcd v3 cluster, and the prefix under which boxes and settings are."""

    endpoints: tuple[Address, ...] = Field(min_length=1, strict=False)
    prefix: str = Field(default="/lynxreel/", max_length=200, pattern=r"^[!-~]+$")
    settings: bool = Field(default=False, description="take plans, classes and limits from there, too")
    username: str = ""
    password_file: str = Field(default="", description="a file that holds the password alone")
    tls: bool = False
    ca_file: str = ""
    certificate_file: str = ""
    key_file: str = ""
    server_name: str = ""

    @model_validator(mode="after")
    def _check(self) -> Etcd:
        if bool(self.username) is not bool(self.password_file):
            raise ValueError("username and password_file go together: set both, or leave both out")
        if not self.tls and (self.ca_file or self.certificate_file or self.key_file or self.server_name):
            raise ValueError("ca_file, certificate_file, key_file, server_name go with tls: set tls = true")
        return self


class Boxes(_Table):
    """Where the list of servers comes from, and how they are to be treated."""

    discovery: Address | None = None
    discovery_agent: bool = Field(
        default=False, description="discovery is an agent of this machine's own: it is called again at once"
    )
    file: str = Field(default="", description="a watched file in place of discovery")
    etcd: Etcd | None = None
    most_removed: float = Field(default=0.5, gt=0, le=1, description="of those serving, unasked")
    removed_within_ms: Milliseconds = 60_000
    kinds: tuple[Name, ...] = Field(default=(), strict=False)
    zones: tuple[Name, ...] = Field(default=(), strict=False)
    idle_close_ms: Milliseconds = Field(default=15_000, description="idle time after which servers close")
    drain_grace_ms: int = Field(default=500, ge=0, description="in which sends to a drained server must end")
    cold_from: float = Field(default=0.2, gt=0, le=1, description="part of its capacity a server starts with")
    cold_ms: int = Field(default=15_000, ge=0, description="after which a started server is warm")
    fall_multiple: Positive = 2.0
    fall_ms: Milliseconds = 2_000
    load_report: tuple[Name, ...] = Field(default=(), strict=False)
    load_report_by_probe: bool = False

    @model_validator(mode="after")
    def _check(self) -> Boxes:
        if [self.discovery is None, not self.file, self.etcd is None].count(False) != 1:
            raise ValueError("one of discovery, file and etcd is wanted: write one, and leave the others out")
        return self


class Redis(_Table):
    """A counter over the Redis protocol: one server, a cluster, or Sentinels that name a primary."""

    addresses: tuple[Address, ...] = Field(min_length=1, strict=False)
    cluster: bool = False
    sentinel: str = Field(default="", description="the primary's name, where the addresses are Sentinels'")
    protocol: Literal[2, 3] = 3
    username: str = ""
    password_file: str = Field(default="", description="a file that holds the password alone")
    database: int = Field(default=0, ge=0, le=1_000)
    prefix: str = Field(default="lynxreel:", max_length=40, pattern=r"^[!-~]*$")
    tls: bool = False
    ca_file: str = ""
    certificate_file: str = ""
    key_file: str = ""
    server_name: str = ""

    @model_validator(mode="after")
    def _check(self) -> Redis:
        if self.cluster and (self.sentinel or self.database):
            raise ValueError("cluster goes without sentinel and database: leave them out")
        if not self.tls and (self.ca_file or self.certificate_file or self.key_file or self.server_name):
            raise ValueError("ca_file, certificate_file, key_file, server_name go with tls: set tls = true")
        return self


class Counter(_Table):
    """The shared counter: the platform's at `address`, or `redis`. Without it each instance counts alone."""

    address: Address | None = None
    redis: Redis | None = None
    time_limit_ms: Milliseconds = 50
    guard: bool = Field(default=True, description="find adds that it has lost, and give them back")
    beat_ms: int = Field(default=500, ge=50, le=5_000, description="between looks whether it is the same")

    @model_validator(mode="after")
    def _check(self) -> Counter:
        if (self.address is None) is (self.redis is None):
            raise ValueError("one of address and redis is wanted: write one, and leave the other out")
        return self


class RequestClass(_Table):
    """A class of requests."""

    name: Name
    effect: Literal["repeatable", "by_key", "once"] = Field(description="what a second run does")
    aim_ms: Milliseconds
    deadline_ms: Milliseconds
    worth: Positive = 1.0
    late_worth: float = Field(default=0.0, ge=0, le=1)
    group: Literal["all", "zone", "cell"] = "all"
    key_memory_ms: int = Field(default=0, ge=0)

    @model_validator(mode="after")
    def _check(self) -> RequestClass:
        if self.deadline_ms < self.aim_ms:
            raise ValueError(f"deadline_ms {self.deadline_ms} is under aim_ms {self.aim_ms}: raise it")
        if (self.effect == "by_key") is not (self.key_memory_ms > 0):
            raise ValueError("key_memory_ms goes with effect by_key, and only with it: add or remove it")
        return self


class Plan(_Table):
    """A customer's plan. Rates are in units a second over all instances together."""

    name: Name
    rate: NotNegative = Field(default=0.0, description="units a second; 0: no quota")
    burst: NotNegative = Field(default=0.0, description="units that may be used at once")
    concurrency: int = Field(default=0, ge=0)
    ceiling_rate: NotNegative = 0.0
    ceiling_burst: NotNegative = 0.0
    ceiling_slack: NotNegative = 0.0
    price: Positive = 1.0
    beyond_worth: float = Field(default=0.0, ge=0, le=1)
    beyond_cost: NotNegative = 0.0

    @model_validator(mode="after")
    def _check(self) -> Plan:
        if (self.rate > 0) is not (self.burst > 0):
            raise ValueError("rate and burst go together: set both above 0, or leave both out")
        if (self.ceiling_rate > 0) is not (self.ceiling_burst > 0):
            raise ValueError("ceiling_rate and ceiling_burst go together: set both, or leave both out")
        if 0 < self.ceiling_rate < self.rate:
            raise ValueError(f"ceiling_rate {self.ceiling_rate} is under rate {self.rate}: raise it")
        return self


class Drain(_Table):
    """How an instance ends."""

    accept_ms: int = Field(default=500, ge=0, description="in which a stop still takes connections")
    announce_ms: int = Field(default=300, ge=0, description="in which idle connections are left open")
    deadline_ms: Milliseconds = Field(default=10_000, description="after which what is left is cut off")


class Supervisor(_Table):
    """How workers are looked after, and how listeners pass to a new version."""

    watchdog_ms: Milliseconds = Field(default=5_000, description="without a sign of life before a kill")
    quick_ms: Milliseconds = Field(default=1_000, description="a shorter life counts as dying at once")
    pause_ms: Milliseconds = Field(default=100, description="before a restart after that; doubled each time")
    most_pause_ms: Milliseconds = 10_000
    give_up: int = Field(default=5, ge=1, le=1_000, description="deaths at once in a row")
    handover_ms: Milliseconds = Field(default=30_000, description="for a new version to be warm")
    moment_ms: Milliseconds = Field(default=5_000, description="for each step of a handover after that")

    @model_validator(mode="after")
    def _check(self) -> Supervisor:
        if self.watchdog_ms < 500:
            raise ValueError("watchdog_ms is under 500: a worker shows life four times a second; raise it")
        return self


class State(_Table):
    """Where the lock and the state file are."""

    folder: str = Field(min_length=1)


class Records(_Table):
    """Where the instance writes down what it did."""

    file: str = Field(min_length=1)
    most_mb: float = Field(default=16.0, gt=0, le=1_000_000, description="of the file and the one before it")
    every_ms: Milliseconds = 1_000


class Operations(_Table):
    """Where operators' staff call: READY, DRAIN, UNDRAIN, one line to a connection."""

    listen: Address


class Http(_Table):
    """An HTTP front, whose routes and costs an OpenAPI description gives."""

    listen: tuple[Address, ...] = Field(min_length=1, strict=False)
    description: str = Field(min_length=1, description="a file in YAML or JSON")
    confirm: str = Field(default="", description="the word for a description that loosens something")
    keys_file: str = Field(default="", description="JSON: by the SHA-256 of an API key, customer and plan")
    token_key_file: str = Field(default="", description="what signed tokens are checked with")
    token_algorithms: tuple[Literal["HS256", "HS384", "HS512", "RS256", "ES256", "EdDSA"], ...] = Field(
        default=("HS256",), min_length=1, strict=False
    )
    token_audience: str = ""
    token_issuer: str = ""
    trusted_proxies: tuple[Network, ...] = Field(
        default=(), strict=False, description="networks of proxies whose Forwarded is believed"
    )
    repeat_keys: int = Field(default=10_000, ge=1, le=10_000_000, description="Idempotency-Keys kept")
    repeat_ms: int = Field(default=600_000, gt=0, le=86_400_000, description="for which one is kept")


class PeerInstance(_Table):
    """Another instance of the fleet, by the name in its own file."""

    name: Name
    address: Address
    zone: str = Field(default="", max_length=64)
    host: str = Field(default="", max_length=64, description="its machine, where others are of the same")


class Links(_Table):
    """Where this instance hears the others, and who they are; it may stand among them itself.

    With `gateway.workers` each address is the first of twice as many as there are workers.
    """

    name: str = Field(default="", max_length=80, description="by which the others know it; gateway.name")
    listen: Address
    zone: str = Field(default="", max_length=64, description="where this instance runs")
    host: str = Field(default="", max_length=64, description="its machine, where others are of the same")
    peers: tuple[PeerInstance, ...] = Field(min_length=1, strict=False)

    @model_validator(mode="after")
    def _check(self) -> Links:
        for what in ("name", "address"):
            seen = [getattr(peer, what) for peer in self.peers]
            for value in seen:
                if seen.count(value) > 1:
                    raise ValueError(f"peers has the {what} {value!r} twice: each instance stands there once")
        return self


class Takeover(_Table):
    """Copies of work in hand at other instances, so that it outlives its gateway."""

    entries: int = Field(default=20_000, ge=1, le=10_000_000, description="copies kept for others")
    most_mb: float = Field(default=32.0, gt=0, le=65_536, description="for these copies")
    wait_ms: int = Field(default=20, ge=1, le=1_000, description="for which a send waits for its keeper")
    keep_ms: Milliseconds = Field(default=15_000, description="for which an answer is told again")
    word: bool = Field(
        default=False, description="in boxes.etcd: who goes on when an owner and its keeper hear nothing"
    )
    lease_ms: int = Field(default=400, ge=60, le=10_000, description="of the right to act; with word")
    drift: float = Field(default=0.01, ge=0, le=0.2, description="by which clocks may run apart")
    once: Literal["wait", "go"] = Field(
        default="wait", description="effects that must not run twice wait for the keeper, or go without"
    )


class Zones(_Table):
    """Leaving a zone that fails as a fleet, by one word in boxes.etcd, and coming back in steps."""

    leave_ms: int = Field(default=150, ge=50, le=60_000, description="for each step of leaving")
    settle_ms: int = Field(default=2_500, ge=100, le=600_000, description="likewise, of a zone that is well")
    rest_ms: int = Field(default=2_000, ge=100, le=600_000, description="before it is tried; doubles")
    trial_ms: int = Field(default=1_000, ge=100, le=600_000, description="that a trial goes well for")
    back_ms: int = Field(default=1_500, ge=100, le=600_000, description="for each step of returning")
    hold_ms: int = Field(default=10_000, ge=1_000, le=3_600_000, description="for which the last word holds")
    most_away: int = Field(default=1, ge=1, le=100, description="zones that may be left at once")
    least_witnesses: int = Field(default=2, ge=2, le=1_000, description="instances that must see it fail")


class OperatorFile(_Table):
    """The whole file."""

    gateway: Gateway
    boxes: Boxes
    classes: tuple[RequestClass, ...] = Field(min_length=1, strict=False)
    plans: tuple[Plan, ...] = Field(min_length=1, strict=False)
    state: State
    limits: Limits = Limits()
    counter: Counter | None = None
    drain: Drain = Drain()
    records: Records | None = None
    operations: Operations | None = None
    http: Http | None = None
    supervisor: Supervisor = Supervisor()
    fleet: Fleet | None = None
    links: Links | None = None
    takeover: Takeover | None = None
    zones: Zones | None = None

    @property
    def view(self) -> View:
        """How many gateways there are."""
        if self.fleet is None:
            return View(self.gateway.gateways)
        return View(self.fleet.gateways, self.fleet.before)

    def _check_zones(self, entry: Zones) -> None:
        """Guards against a fleet that could never have a word in common."""
        if self.links is None or self.boxes.etcd is None:
            raise ValueError("zones goes with links and boxes.etcd: who sees what, where the word is kept")
        known = self.boxes.zones
        for zone in (self.links.zone, *(peer.zone for peer in self.links.peers)):
            if zone not in known:
                raise ValueError(f"zones: an instance of links is in zone {zone!r}, which boxes.zones lacks")
        if entry.most_away >= len(known):
            raise ValueError(f"zones.most_away {entry.most_away} leaves none of {len(known)} zones: lower it")

    def _check_links(self) -> None:
        """Guards against workers' addresses that are none, or another gateway's."""
        if self.links is None or not self.gateway.workers:
            return
        if self.links.name:
            raise ValueError("links.name is of one instance, gateway.workers asks for several: remove one")
        spans: list[tuple[str, int, str]] = [(*read_address(self.links.listen), self.gateway.name)]
        for peer in self.links.peers:
            if peer.name != self.gateway.name:
                spans.append((*read_address(peer.address), peer.name))
        most = len(SIDES) * self.gateway.workers
        for number, (host, port, name) in enumerate(spans):
            if port + most > 65_536:
                raise ValueError(f"links: {name} has {most} ports from {port} on, past the last one there is")
            for other_host, other, other_name in spans[:number]:
                if host == other_host and abs(port - other) < most:
                    why = f"each has {most} of them, two for each worker"
                    raise ValueError(f"links: ports of {other_name} and {name} are too near: {why}")

    @model_validator(mode="after")
    def _check(self) -> OperatorFile:
        for what, names in (("classes", self.classes), ("plans", self.plans)):
            seen = [entry.name for entry in names]
            for name in seen:
                if seen.count(name) > 1:
                    raise ValueError(f"{what} has the name {name!r} twice: names must differ")
        number, count = self.gateway.number, self.gateway.gateways
        if self.fleet is None and number >= count:
            raise ValueError(f"gateway.number {number} is outside a fleet of {count}: count from 0")
        if self.operations is not None and self.gateway.workers:
            raise ValueError(
                "operations.listen is of one instance, and gateway.workers asks for several: "
                "remove one of them; `lynxreel drain` asks every worker"
            )
        if self.takeover is not None and self.links is None:
            raise ValueError("takeover goes with links: tell who the other instances are")
        if self.takeover is not None and self.takeover.word and self.boxes.etcd is None:
            raise ValueError("takeover.word goes with boxes.etcd: it is written there")
        self._check_links()
        if self.zones is not None:
            self._check_zones(self.zones)
        longest = max(cls.deadline_ms for cls in self.classes)
        if self.drain.deadline_ms < longest:
            raise ValueError(
                f"drain.deadline_ms {self.drain.deadline_ms} is under the longest deadline_ms of a class, "
                f"{longest}: accepted requests would be cut off; raise it"
            )
        for plan in self.plans:
            if 0 < plan.burst < self.limits.largest_units:
                raise ValueError(
                    f"plan {plan.name!r} has burst {plan.burst} under limits.largest_units "
                    f"{self.limits.largest_units}: its largest request could never pass; raise burst"
                )
        return self
