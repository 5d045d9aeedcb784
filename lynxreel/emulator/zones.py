"""A fleet in virtual time that leaves zones by one word: the parts that decide, a store, ways between them.

What it leaves out: links and store lose nothing here and are late by chance within stated bounds; a look
costs no time of the instance's own. Each instance's part is `Member`, as in service.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

from lynxreel.emulator.box import Make
from lynxreel.emulator.fleet import Fleet, _Attempt, _Node
from lynxreel.zones import evidence, word as words
from lynxreel.zones.member import Action, StoreRequest, Member, SendMessage, SetFractions
from lynxreel.zones.word import ZoneDecision
from mothgap import view
from mothgap.interface import Result, Send, Settings, ZoneParts

LOOK = 50_000  # microseconds between looks
SECOND = 1_000_000


class ZonedFleet(Fleet):
    """Gateways and boxes dealt out over zones in turn."""

    def __init__(
        self,
        settings: Settings,
        boxes: int,
        zones: int,
        seed: int = 1,
        make: Make | None = None,
        work: int = 100_000,
        terms: words.DecisionSettings | None = None,
        eyes: evidence.EvidenceSettings | None = None,
        way: tuple[int, int] = (300, 3_000),
    ) -> None:
        """`terms`: of the word, None where there is none; `way`: the microseconds of a message or a call."""
        super().__init__(settings, boxes, seed=seed, make=make, zones=zones, work=work)
        self.zones, self._way = zones, way
        self.word = ZoneDecision()  # as the store has it
        self.sent: Counter[tuple[str, int]] = Counter()  # attempts by box and second
        self.used: list[tuple[int, int, dict[str, float]]] = []  # when which gateway went by which parts
        self.said = 0  # messages
        self.asked = 0  # calls to the store
        places = {self._name(number): f"z{number % zones}" for number in range(len(self.nodes))}
        self._numbers = {name: number for number, name in enumerate(places)}
        now = self.agenda.now // 1_000
        self.members = [
            Member(name, places, terms or words.DecisionSettings(), eyes or evidence.EvidenceSettings(), now)
            for name in places
        ]
        listed = {name: f"z{line.zone}" for name, line in self.lines.items()}
        for member in self.members:
            member.set_boxes(listed)
        if terms is not None:
            for number, member in enumerate(self.members):
                self._do(number, member.peers_changed([name for name in places if name != member.name], ()))
                self.agenda.after(self.chance.randrange(LOOK), self._looks(number))

    @staticmethod
    def _name(number: int) -> str:
        return f"g{number}"

    def order(self, zone: int, parts: float | None) -> None:
        """Have every gateway use so much of a zone from now on, as if all knew at once; None: all of it."""
        for number in range(len(self.nodes)):
            self.feed(number, ZoneParts(() if parts is None else ((zone, parts),)))

    def outside(self, zone: int) -> Iterable[int]:
        """Gateways of the other zones."""
        return (number for number in range(len(self.nodes)) if number % self.zones != zone)

    # --- what happens -----------------------------------------------------------------------------------

    def _looks(self, number: int) -> Callable[[], None]:
        def look() -> None:
            member, now = self.members[number], self.agenda.now // 1_000
            use = None
            if member.wants_usage(now):
                found = view.zone_loads(self.nodes[number].module)
                use = {f"z{zone}": (out, bears) for zone, (out, bears) in found.items()}
            self._do(number, member.tick(now, now, use))
            self.agenda.after(LOOK, look)

        return look

    def _later(self, what: Callable[[], None]) -> None:
        self.agenda.after(self.chance.randint(*self._way), what)

    def _do(self, number: int, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage():
                    for name in action.to:
                        self.said += 1
                        self._say(number, self._numbers[name], action)
                case StoreRequest():
                    self.asked += 1
                    self._ask(number, action)
                case SetFractions():
                    self.used.append((self.agenda.now, number, dict(action.parts)))
                    parts = tuple((int(zone[1:]), part) for zone, part in action.parts.items())
                    self.feed(number, ZoneParts(parts))
                case _:
                    pass

    def _say(self, speaker: int, hearer: int, action: SendMessage) -> None:
        def hear() -> None:
            now, name = self.agenda.now // 1_000, self._name(speaker)
            self._do(hearer, self.members[hearer].receive(now, name, action.message))

        self._later(hear)

    def _ask(self, number: int, asked: StoreRequest) -> None:
        def arrive() -> None:
            if asked.follows is not None and asked.follows.epoch == self.word.epoch + 1:
                self.word = asked.follows
            stands = self.word
            self._later(lambda: self._stored(number, stands))

        self._later(arrive)

    def _stored(self, number: int, stands: ZoneDecision) -> None:
        self._do(number, self.members[number].store_answered(self.agenda.now // 1_000, stands))

    def _send(self, gateway: int, node: _Node, action: Send) -> None:
        self.sent[action.server, self.agenda.now // SECOND] += 1
        super()._send(gateway, node, action)

    def _told(self, gateway: int, attempt: _Attempt, how: Result, load: tuple[float, ...] = ()) -> None:
        if not attempt.over:
            self.members[gateway].attempt_ended(self.agenda.now // 1_000, attempt.name, how)
        super()._told(gateway, attempt, how, load)
