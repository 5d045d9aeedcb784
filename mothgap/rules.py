"""The decisions of a mothgap gateway. The events, actions and settings are in `mothgap/interface.py`.

A request's way, in the order of this file:

meter   `_on_request` adds its units to the customer's count on the counter service and waits for the total;
        `_on_counted` lets it go on while the total stays within the allowance, else adds the units back and
        refuses at once. `_veto` holds ceilings with this gateway's own share, whatever the counter says.
choose  `_choose` takes the server with the least expected wait among those that may be sent to.
send    `_send` starts an attempt, with a time-out that leaves room for another one where a repeat is allowed.
outcome `_on_outcome` learns from how it ended, and sends again where the class and the retry budget allow.
answer  `_end` gives the one final answer, as a refusal only where that is known to be harmless.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict, deque
from collections.abc import Iterable
from itertools import chain, islice
from zlib import crc32

from mothgap.interface import (
    Action,
    Cancel,
    Cause,
    ClockShift,
    Count,
    Counted,
    CountedLate,
    Effect,
    Event,
    EventError,
    Expired,
    Fail,
    Group,
    ListKind,
    Members,
    NewSettings,
    Outcome,
    PeerMessage,
    Plan,
    Refuse,
    Request,
    RequestClass,
    Result,
    Send,
    SetTimer,
    Settings,
    Share,
    State,
    Stopping,
    Tell,
    Timer,
    Unsure,
    Watch,
    ZoneParts,
)
from mothgap.lending import (
    REPLY_TIMEOUT,
    LoanReply,
    LoanRequest,
    PendingLoans,
    decode,
    encode,
    is_entry_point,
    reserved_units,
)
from mothgap.names import MAX_NAME_LIFETIME, SECOND, count_name, window
from mothgap.state import MEAN_SPAN, PACE_SMOOTH, AttemptLimit, Customer, OpenRequest, Server, ServerKind

METER_PATIENCE = 0.1  # of the class's aim; how long a request waits for its total
BREAKER_TRIP = 3  # counter calls failed in a row before requests stop waiting for it: one or two are chance
TRIAL_EVERY = 4  # counter time-outs between trial calls while the breaker is open: light work for it
CALL_CUT = 0.7  # what is left of the share of requests that call, after a call that found the counter crowded
CALL_RAISE = 0.02  # how much that share grows with a prompt answer; with the cut, one call in ten is late
CALL_SLOW = 0.5  # of the counter's time limit; after slower answers the share of calls does not grow
TRY_MATCH = 0.01  # of a class's deadline; how near to the usual patience a first try's time left is
FIRSTS = 16  # first tries whose time left is known: some clients may be far less patient than most
CALL_LEAST = 0.1  # of the requests that call at the least, so that a counter with room again is noticed soon
CALL_HALF = 0.5  # of the burst taken; there a customer gets that share, with the square of it below and above
SHORT_WINDOWS = 2.0  # windows after a want of room in which cheaper classes leave some for dearer ones
SHORT_KEEP = 0.5  # of the largest request; what every class leaves free then
LOOK_WINDOWS = 8.0  # windows after which what totals said of a customer has faded: long spells last longer
HOT_CALLS = 2.0  # calls for a customer beyond its quota, for each that is likely to find room
SMOOTH = 0.2  # share of a new reading in a running mean: about the last ten readings count
ERROR_LIMIT = 0.3  # share of errors at which a server is set aside; healthy ones are far below
ASIDE_MOST = 0.5  # part of the servers that may be set aside: if more look bad, suspect something shared
ASIDE_CALLS = 6.0  # mean service times that a server set aside waits before one request tries it
SILENCE = 5.0  # times the usual answer time without any answer before a server counts as silent
ERROR_WEIGHT = 4.0  # how much a server's error share adds to its expected wait: an error costs a request
AVOID = 10.0  # times the expected wait at the server that the last attempt failed at: only if all are as slow
RETRY_SHARE = 0.15  # further attempts for each request, in the long run: they must not double an overload
RETRY_SAVED = 10.0  # further attempts saved up at most: one bad server's share of a burst
FIRST_SPLIT = 0.5  # of the time to the aim; what the first of two possible attempts gets
LATE_PART = 0.3  # of the aim; half of the answers slower than this say that a server holds too much
RESERVE = 0.5  # of the room saved up; what is left for others by those who are refused first
LIMIT_START = 4.0  # attempts out at a server at first, by all gateways: a few for each core
LIMIT_RAISE = 1.0  # attempts more, by all gateways, after as many timely answers as a server may hold
LIMIT_CUT = 0.6  # what is left of a server's limit after an answer that came too late
KEPT = 0.3  # of all limits, what is left for others by those who are refused first
GHOST_AIMS = 2.0  # aims after which a server that never answered is taken to have dropped an attempt given up
WATCH_AGAIN = 10  # the part of the asking span after which a failed call to the list is made again
ASK_MOST = 4  # gateways asked for a part of the ceiling by one request: each keeps it waiting a little more
ASK_FIRST = 2  # of them, at once: one may be lost, or have nothing
ASK_LOW = 1.0  # largest requests; a part of the ceiling that is smaller is added to before it is wanted
GIVE_BUSY = SECOND  # microseconds since the customer was here in which half of its part is kept for it
WAIT_OVER = -1  # in place of an attempt: the timer of a request that waits for a part of the ceiling
WATCH_TOKEN = 0  # the timer of that; the timers of requests count from 1
COLD_MARGIN = 0.4  # of the allowed sends to a cold server; the rest is for chance and what others do unevenly
SAMPLE = 8  # servers that a gateway of a large fleet keeps to; a choice costs the same in any fleet
MANY = 64  # servers; a choice among more looks at some drawn by chance, and sums over all are kept a while
LOOK = 24  # servers drawn: the best of two is most of what the best of all gains, and many may be unfit
SUMS_KEPT = 20_000  # microseconds; short against any answer
STALE = SECOND  # microseconds after which what a server last showed of its load says little
LOAD_FIELDS = ("inflight", "util", "qps")  # fields of load reports that tell of load
FAR = 1.3  # times the expected wait at a server of another zone: the way there costs, and is longer
NEW_PRICED = 400.0  # times the price of a handshake; so much more a server counts where one has to be made:
NEW_MOST = 30.0  # times the expected wait, which is only if no other server will do
KEPT_FOR = 5 * SECOND  # microseconds after an answer in which its connection is taken to be there still
NEAR_ALIKE = 1.05 - 0.95  # waits this near to each other are alike: chance decides
PACE_TRUST = 10.0  # own answers of a server at which its pace counts as much as the pace of its kind


class Gateway:
    """One gateway's decisions: a pure function of its settings, its seed and the events it is given."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self._s = settings
        self._random = random.Random(seed)
        self._now, self._shift = now, 0  # the shift is of the shared clock, which names windows
        self._out: list[Action] = []
        self._about: int | None = None  # the open request that the event in hand is about
        self._servers: dict[str, Server] = {}
        self._ready: list[Server] = []
        self._near: list[Server] = []  # of these, the ones that this gateway sends to
        self._zones: dict[int, float] = {}  # zones that the fleet uses in part
        self._kinds: dict[int, ServerKind] = {}
        self._warm_of: dict[int, int] = {}  # warm servers by kind, counted at `_warm_at`
        self._warm_at = now - MAX_NAME_LIFETIME
        self._pooled: AttemptLimit | None = None  # one limit for all servers, in fleets of more than a few
        self._seldom = False  # more gateways than servers: most customers are met less than once in a window
        self._live, self._credit, self._credit_at = 0, 0.0, now  # attempts out; attempt-microseconds saved up
        self._mean_value = 1e-9  # running mean of worth for the work
        self._mean_answer = 0.0  # running mean answer time, of all classes
        self._mean_load = 0.0  # running mean of reported loads
        self._customers: OrderedDict[int, Customer] = OrderedDict()
        self._jobs: dict[int, OpenRequest] = {}
        self._asked: dict[int, list[int | None]] = {}  # count name: requests of its open calls
        self._amounts: dict[int, list[tuple[Customer, float]]] = {}
        self._usual = [0.0 for _ in settings.classes]  # running mean answer time by class
        # Counter calls failed in a row, each sent after the one before had; when the last one did.
        self._failed, self._failed_at = 0, now - MAX_NAME_LIFETIME
        self._trial_at = now  # when to try next
        self._patience = [(0, 0) for _ in settings.classes]  # usual time left of a try, and votes for it
        self._firsts: dict[int, deque[int]] = {}  # by class: the time left of first tries, where clients tell
        self._over = [0.0 for _ in settings.plans]  # part of the decisions by total that were refusals
        self._calling, self._calling_cut = 1.0, now  # share of the requests that call; when it was last cut
        self._retries = RETRY_SAVED
        self._dearest = max(cls.worth for cls in settings.classes)
        self._longest = max(cls.aim for cls in settings.classes)
        self._credit = float(self._longest)
        self._part, self._filled, self._filled_at = 1.0, 0.0, now  # of ceilings; microseconds at a whole part
        # On `_filled`, when all was handed back.
        self._emptied, self._emptied_at = 0.0, now - MAX_NAME_LIFETIME
        self._sums, self._sums_at = (0.0, 0.0), now - SUMS_KEPT  # held and limits of all servers, and when
        self._aside: dict[str, None] = {}  # what `_shunned` said last
        self._aside_at = now - SUMS_KEPT
        self._stopping: Stopping | None = None
        self._had_counter = settings.counter is not None  # one that goes still takes back what it was given
        self._questions = PendingLoans(settings.index, self._random)
        self._tokens: dict[int, tuple[int, int | None]] = {}  # timers: request, and attempt; None: its total
        self._token = 0

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event; return what to do, in order. An EventError has what was decided before a fault."""
        self._now = now
        self._out = []
        self._about = None
        try:
            self._dispatch(event)
        except Exception as fault:
            raise EventError(type(event).__name__, self._about, self._out) from fault
        return self._out

    def _dispatch(self, event: Event) -> None:
        match event:
            case Request():
                self._on_request(event)
            case Outcome():
                self._on_outcome(event)
            case Counted():
                self._on_counted(event)
            case CountedLate():
                self._on_late(event)
            case Timer():
                self._on_timer(event)
            case Members():
                self._on_members(event)
            case Expired():
                self._on_expired(event)
            case Unsure():
                if (job := self._jobs.get(event.request)) is not None:
                    job.unsure = event.unsure
            case PeerMessage():
                self._on_peer(event)
            case ClockShift():
                self._shift = event.offset
                for server in self._servers.values():
                    server.told_by(self._now, self._shift)
            case Share():
                self._on_share(event.part)
            case ZoneParts():
                for server in self._servers.values():
                    if server.line.zone in self._zones:  # whether it is well again is to be seen
                        server.aside, server.errors = False, 0.0
                self._zones = dict(event.parts)
                self._list()
            case NewSettings():
                self._on_settings(event.settings)
            case Stopping():
                self._on_stopping(event)

    def _on_settings(self, settings: Settings) -> None:
        """Other figures from now on. What is open keeps its class; customers keep what they have taken."""
        classes, plans = len(settings.classes), len(settings.plans)
        self._usual += [0.0] * (classes - len(self._usual))
        self._patience += [(0, 0)] * (classes - len(self._patience))
        self._over += [0.0] * (plans - len(self._over))
        # Limits of servers are this gateway's part of what all gateways hold there.
        for limit in {id(server.limit): server.limit for server in self._servers.values()}.values():
            limit.most *= self._s.fleet_size / settings.fleet_size
        self._s = settings
        self._had_counter |= settings.counter is not None
        self._dearest = max(cls.worth for cls in settings.classes)
        self._longest = max(cls.aim for cls in settings.classes)

    # --- shutdown ---------------------------------------------------------------------------------------

    def _on_stopping(self, event: Stopping) -> None:
        """Guards the final answers of a gateway that ends: no deadline outlives it, nor a late request."""
        if (before := self._stopping) is not None:
            refuse_from, until = min(event.refuse_from, before.refuse_from), min(event.until, before.until)
            event = Stopping(refuse_from, until)
        self._stopping = event
        for job in self._jobs.values():
            job.end_by(event.until)

    # --- meter ------------------------------------------------------------------------------------------

    def _on_request(self, request: Request) -> None:
        self._about = request.id
        plan, cls = self._s.plans[request.plan], self._s.classes[request.cls]
        customer = self._customer(request.customer, plan, request.entry_points)
        job = self._jobs[request.id] = OpenRequest(request, cls, customer, self._now)
        job.aim_at -= self._spent(request, cls)
        job.added = request.units if request.counted else 0.0  # given back where it is not sent on
        customer.here_at = self._now
        if self._stopping is not None:
            job.end_by(self._stopping.until)
            if self._now >= self._stopping.refuse_from:
                self._end(job, Cause.STOPPING)
                return
        self._retries = min(RETRY_SAVED, self._retries + RETRY_SHARE)
        doubt = (customer.over + self._over[request.plan]) / (customer.looks + 1.0)
        # Letting a request through uncounted earns its worth, or costs what going beyond the quota costs.
        hot = doubt * (1.0 + plan.beyond_cost - plan.beyond_worth) >= 1.0
        hopeless = min(self._patience_of(job), job.aim_at - self._now) <= self._s.tick
        if hopeless:
            self._end(job, Cause.NO_TIME)  # also what comes with no time left for a call and an answer
        elif not self._may_pass(job, plan) and not self._may_borrow(job, plan):
            self._end(job, Cause.CEILING)
        elif not self._room(self._rank(job, plan, hot)):
            self._end(job, Cause.ROOM)
        elif request.counted and request.sent:
            self._borrow(job, plan)
            self._pass(job, plan)
        elif not request.counted and plan.rate > 0 and self._s.counter and self._no_room(job, plan):
            # Known to have no room: its add would only be taken back, and repeats would swamp the counter.
            self._end(job, Cause.QUOTA)
        else:
            self._meter(job, plan, hot, doubt)

    def _meter(self, job: OpenRequest, plan: Plan, hot: bool, doubt: float) -> None:
        """Ask for the total, or decide without it."""
        request, customer = job.request, job.customer
        if plan.rate <= 0:
            self._borrow(job, plan)
            self._pass(job, plan)
        elif self._s.counter is None:
            self._decide_alone(job, plan)
        elif self._failed >= BREAKER_TRIP:
            if self._now >= self._trial_at:
                self._trial_at = self._now + TRIAL_EVERY * self._s.counter.time_limit
                job.added = request.units
                self._count(job, plan, None, 0.0 if request.counted else job.added)
            self._decide_alone(job, plan)
        else:
            share = self._calling
            if hot and share < 1.0:
                share *= min(1.0, HOT_CALLS * (1.0 - doubt))
            elif share < 1.0 and not self._seldom:
                # The nearer to the burst, the more a total tells; what is far from it is owed meanwhile.
                share *= ((customer.debt + request.units) / plan.burst / CALL_HALF) ** 2
            if self._random.random() < share:
                # In a large fleet a customer may not come here again: this stands for those that pass.
                # What a lost gateway has added is only looked at: nobody may have seen its total.
                adds = request.units if hot or not self._seldom else request.units / share
                job.added = job.added or adds
                self._count(job, plan, request.id, 0.0 if request.counted else adds)
                self._borrow(job, plan)
                patience = self._patience_of(job)
                if self._s.counter.time_limit > patience:
                    self._set_timer(patience, request.id, None)
            elif hot:
                self._end(job, Cause.QUOTA)
            else:
                self._decide_alone(job, plan)

    @staticmethod
    def _patience_of(job: OpenRequest) -> int:
        """How long a request may wait for its total."""
        return min(int(job.cls.aim * METER_PATIENCE), job.request.time_left // 2)

    def _no_room(self, job: OpenRequest, plan: Plan) -> bool:
        """Known before any call. What may just fit is for a total to say, as long as the counter keeps up."""
        if self._calling >= 1.0:
            return job.customer.debt + job.request.units > plan.burst
        return not self._within(job, plan, job.request.units, job.customer.guess)

    def _within(self, job: OpenRequest, plan: Plan, units: float, sure: float = 0.0) -> bool:
        """There is room for the units, and for some more where the customer went short of late.

        For adds that no total holds yet, as going beyond costs more than waiting; and for dearer requests.
        Guards against a quota that goes at its edge to whatever is small enough: what needs more room at once
        would never find it. Harms the cheaper class of a customer that asks for more than its quota.
        """
        customer = job.customer
        if plan.rate <= 0:
            return True
        short = self._now - customer.short_at < SHORT_WINDOWS * plan.burst / plan.rate * SECOND
        keep = (SHORT_KEEP + 1.0 - job.cls.worth / self._dearest) * self._s.units_top if short else 0.0
        fits = customer.fits(units, job.request.entry_points, keep, sure)
        if not fits:
            customer.short_at = self._now
        return fits

    def _spent(self, request: Request, cls: RequestClass) -> int:
        """Time since the client's first try, where that shows and either counter or servers are crowded.

        Most tries of a class come with the same time left. One with less is a later try with the rest of its
        time: once its aim has passed, it would take units and work for nothing. One with more is none: where
        many are refused, later tries are the most. Harms clients that come with little patience, hence only
        where others would go without. Where clients mark later tries, first ones tell by themselves.
        """
        usual, votes = self._patience[request.cls]
        same = abs(usual - request.time_left) <= TRY_MATCH * cls.deadline
        self._patience[request.cls] = (
            (usual, votes + 1) if same else ((request.time_left, 0) if votes <= 0 else (usual, votes - 1))
        )
        if self._s.marks_retries:
            firsts = self._firsts.setdefault(request.cls, deque(maxlen=FIRSTS))
            if not request.retry:
                firsts.append(request.time_left)
            usual = min(firsts, default=0)
        later = request.time_left < usual - TRY_MATCH * cls.deadline
        crowded = self._calling < 1.0 or (self._pooled is not None and self._credit < self._longest / 2)
        return cls.deadline - request.time_left if later and crowded and cls.late_worth < 0.5 else 0

    def _customer(self, number: int, plan: Plan, entry_points: int) -> Customer:
        """The customer's state, moved on to now. Customers long unheard of are dropped."""
        customer = self._customers.get(number)
        if customer is None:
            customer = self._customers[number] = Customer(plan.burst, self._now)
            # The ceiling's share starts empty at boot, so that no restart refills it; and where all of it has
            # been handed back, as another gateway may have served the customer meanwhile.
            customer.limit_at = self._emptied
            if self._failed >= BREAKER_TRIP and self._now - self._emptied_at < MAX_NAME_LIFETIME:
                customer.debt = plan.burst  # no total tells what it has used elsewhere
        elif customer.burst != plan.burst:
            customer.burst = plan.burst  # a plan's new figures hold for what is taken already, too
        self._customers.move_to_end(number)
        for name in list(islice(self._customers, 2)) if len(self._customers) > 64 else ():
            old = self._customers[name]
            if old is not customer and not old.open and not old.waits and self._as_new(old):
                del self._customers[name]
        if plan.rate > 0:
            passed = (self._now - customer.at) / SECOND
            customer.debt = max(0.0, customer.debt - plan.rate * passed)
            fade = math.exp(-passed * plan.rate / plan.burst / LOOK_WINDOWS)
            customer.looks, customer.over = customer.looks * fade, customer.over * fade
        customer.at = self._now
        spread = max(1, entry_points)
        customer.rate = plan.rate
        full = plan.ceiling_burst - (reserved_units(plan) if self._s.limits.peers else 0.0)
        customer.fill, customer.full = plan.ceiling_rate / spread, max(0.0, full) / spread
        self._refill(customer)
        return customer

    def _as_new(self, customer: Customer) -> bool:
        """Long unheard of, and all refilled: letting it go gives it no fresh burst."""
        passed = (self._now - customer.at) / SECOND
        quota = not customer.rate or customer.debt <= customer.rate * passed
        self._refill(customer)  # a part may have been lent since
        ceiling = not customer.fill or customer.full * self._part <= customer.ceiling
        return passed > MAX_NAME_LIFETIME / 2 / SECOND and quota and ceiling

    def _refill(self, customer: Customer) -> None:
        """What has come to this gateway's share of the customer's ceiling since it was looked at."""
        filled = self._filled + self._part * (self._now - self._filled_at)
        more = customer.fill * (filled - customer.limit_at) / SECOND
        most = customer.full * self._part
        if customer.waits:  # what has been borrowed for them may be more than is ever saved up here
            most = max(most, customer.ceiling)
        customer.ceiling, customer.limit_at = min(most, customer.ceiling + more), filled

    def _on_share(self, part: float) -> None:
        """Guards the sum of the shares: what is handed back goes with what had been saved up in it."""
        if part < self._part:
            for customer in self._customers.values():
                self._refill(customer)
                customer.ceiling *= part / self._part
        self._filled += self._part * (self._now - self._filled_at)
        self._part, self._filled_at = part, self._now
        if part <= 0:
            self._emptied, self._emptied_at = self._filled, self._now

    def _enter_window(self, job: OpenRequest, plan: Plan) -> tuple[int, int]:
        """The name of the customer's count now, and its window's length; a new window starts from nothing."""
        number, length = window(job.request.customer, plan, self._now + self._shift)
        name = count_name(job.request.customer, number)
        if job.customer.window != name:
            job.customer.window, job.customer.total, job.customer.own, job.customer.lost = name, 0.0, 0.0, 0.0
            job.customer.guess, job.customer.excess = 0.0, 0.0  # totals tell nothing of the time before
            job.customer.owed = max(0.0, job.customer.owed)  # this count never held what would be taken back
        return name, length

    def _count(self, job: OpenRequest, plan: Plan, waiting: int | None, units: float) -> None:
        """Add to the customer's count of this window; `waiting` is the request that hangs on the total."""
        name, length = self._enter_window(job, plan)
        # What has been refilled since is owed no more.
        units, job.customer.owed = units + min(job.customer.owed, job.customer.debt), 0.0
        self._asked.setdefault(name, []).append(waiting)
        self._amounts.setdefault(name, []).append((job.customer, units))
        self._out.append(Count(name, units, min(MAX_NAME_LIFETIME, 2 * length)))

    def _on_counted(self, event: Counted) -> None:
        self._about = waiting = self._asked[event.name].pop(0)
        customer, amount = self._amounts[event.name].pop(0)
        if not self._asked[event.name]:
            del self._asked[event.name], self._amounts[event.name]
        job = self._jobs.get(waiting) if waiting is not None else None
        self._pace_calls(event)
        if event.result is not Result.OK:
            self._count_failed(event, customer, amount)
            if job is not None and job.held:
                self._decide_alone(job, self._s.plans[job.request.plan])
            return
        self._failed = 0
        others = self._take_total(customer, event.name, amount, event.total)
        if job is None or not job.held:
            customer.take(others)
            return
        plan = self._s.plans[job.request.plan]
        customer.debt = max(0.0, customer.debt - plan.rate * (self._now - customer.at) / SECOND)
        customer.at = self._now
        customer.take(others - (job.request.units if job.request.counted else 0.0))  # others' but for its own
        customer.backlog += SMOOTH * (max(0.0, amount - job.added) - customer.backlog)
        over = not self._within(job, plan, job.request.units)
        customer.looks += 1.0
        customer.over += over
        self._over[job.request.plan] += PACE_SMOOTH * (over - self._over[job.request.plan])
        if over:
            self._end(job, Cause.QUOTA)
        else:
            customer.debt += job.request.units
            self._pass(job, plan)

    def _take_total(self, customer: Customer, name: int, amount: float, total: float) -> float:
        """What a total tells of the others' use, beyond what has been guessed of it."""
        if name != customer.window:
            return 0.0
        others = total - customer.total - amount
        # Of the adds whose answers were lost this total can hold so much; the rest was not added.
        shown = min(max(others, 0.0), customer.lost) if customer.lost > 0 else customer.lost
        customer.owed += customer.lost - shown
        customer.own, customer.lost, others = customer.own + amount, 0.0, others - shown
        customer.total = total
        if total < customer.own - 0.5:
            # The count was lost: what this gateway remembers stays as the lower bound.
            customer.own = amount
            return 0.0
        customer.seen_own += amount + shown - SMOOTH * customer.seen_own
        customer.seen_others += others - SMOOTH * customer.seen_others
        guess, customer.guess = customer.guess, 0.0
        return others - guess

    def _on_late(self, event: CountedLate) -> None:
        """The total of a call that had ended without one: nobody waits for it, but it is as true as any.

        Guards against adds of this gateway that pass for others' use, or are owed though they were made, and
        against a view that grows old where most calls are late. Harmless where a total comes out of order:
        the next one puts it right.
        """
        customer = self._customers.get(event.name >> 24)
        if customer is not None and event.name == customer.window:
            customer.lost -= event.amount
            customer.own -= min(0.0, event.amount)  # it was taken off when the call ended
            others = self._take_total(customer, event.name, event.amount, event.total)
            customer.take(others)

    def _count_failed(self, event: Counted, customer: Customer, amount: float) -> None:
        """No total. What was not added is owed; what may have been is this gateway's own in the next total.

        It is away when calls fail one after another, each sent after the one before it had failed: those
        in one queue or on one broken connection fail together. A counter that turns calls away is there.
        """
        if event.result.never_ran:
            customer.owed += amount
        elif event.name == customer.window:
            customer.lost += amount
            customer.own += min(0.0, amount)
        if event.result is not Result.FULL and self._now - event.elapsed >= self._failed_at:
            self._failed, self._failed_at = self._failed + 1, self._now

    def _pace_calls(self, event: Counted) -> None:
        """A crowded counter is called for a share of the requests; a call then adds what others left owed.

        Guards against calls that the counter works on when nobody waits for them any more, which would lose
        the totals of all. Answers in time, however few, let the share grow again.
        """
        limit = self._s.counter.time_limit if self._s.counter else 0
        if event.result is Result.OK and self._failed >= BREAKER_TRIP:
            self._calling = 1.0  # it was away, not crowded
        elif event.result is Result.OK:
            if event.elapsed <= CALL_SLOW * limit:
                self._calling = min(1.0, self._calling + CALL_RAISE)
        elif event.result not in (Result.TIMEOUT, Result.FULL):
            pass  # a broken connection says nothing of the counter's load
        elif self._now - event.elapsed >= self._calling_cut:
            self._calling, self._calling_cut = max(CALL_LEAST, self._calling * CALL_CUT), self._now

    def _settle(self, job: OpenRequest, units: float) -> None:
        """Units that turned out otherwise than counted: guesses, or a request that was not sent on.

        On a crowded counter they are added with the next call for the customer.
        """
        plan = self._s.plans[job.request.plan]
        if not job.added or plan.rate <= 0 or job.unsure:  # its plan may have lost its quota meanwhile
            return
        if not self._had_counter:  # another gateway added it, and had one
            return
        units *= job.added / job.request.units
        if self._calling >= 1.0 and self._failed < BREAKER_TRIP:
            self._count(job, plan, None, units)
        else:
            job.customer.owed += units

    def _decide_alone(self, job: OpenRequest, plan: Plan) -> None:
        """Exception: no total to be had. What this gateway lets through stands for what others do meanwhile.

        As much at each gateway where there is no counter, else as much as totals told of them, where no call
        of its own is out: while it is away, the parts of all come to the whole quota. The next total replaces
        that guess. It guards a quota against as many bursts as gateways share it, and refuses too much where
        a customer comes here more than it used to; one that moves may get three quarters of it more.
        """
        if plan.rate <= 0:  # it has lost its quota while the total was on its way
            self._pass(job, plan)
            return
        customer, cost, others = job.customer, job.request.units, 0.0
        if self._s.counter is None:
            others = cost * (max(1, job.request.entry_points) - 1)
        elif self._failed >= BREAKER_TRIP or not (self._seldom or job.added):
            others = cost * customer.others(job.request.entry_points)
        cost += others
        # One request may cost more than the burst where many gateways share it: it waits for an empty debt.
        if self._within(job, plan, cost) and (self._may_pass(job, plan) or self._may_borrow(job, plan)):
            self._borrow(job, plan)
            self._enter_window(job, plan)
            customer.debt += cost
            customer.guess += others
            owes = self._s.counter is not None and self._failed < BREAKER_TRIP
            if owes and not (job.added or self._seldom):
                customer.owed, job.added = customer.owed + job.request.units, job.request.units
            self._pass(job, plan)
        else:
            self._end(job, Cause.QUOTA)

    # --- ceilings ---------------------------------------------------------------------------------------

    def _may_pass(self, job: OpenRequest, plan: Plan) -> bool:
        """Rule 5, and plans that cap what is out: this gateway's own share, whatever the counter says."""
        return self._may_open(job, plan) and (
            plan.ceiling_rate <= 0 or job.request.sent or job.customer.ceiling >= job.request.units
        )

    def _may_open(self, job: OpenRequest, plan: Plan) -> bool:
        spread = max(1, job.request.entry_points)
        return not plan.concurrency or job.customer.open < -(-plan.concurrency // spread)

    def _may_borrow(self, job: OpenRequest, plan: Plan) -> bool:
        """Other gateways may have saved up what is missing here."""
        lends = self._s.limits.peers and plan.ceiling_rate > 0 and self._part > 0
        return lends and job.request.entry_points > 1 and self._may_open(job, plan)

    def _pass(self, job: OpenRequest, plan: Plan) -> None:
        """The quota allows it, and it is in the debt; it goes on as soon as the ceiling allows it, too.

        It waits no longer than for a total, and only while questions are out that may bring what is missing.
        """
        customer, job.held = job.customer, False
        self._refill(customer)
        if self._may_pass(job, plan):
            self._try(job)
            low = customer.ceiling < ASK_LOW * self._s.units_top
            if low and self._may_borrow(job, plan) and not self._hopes(job):
                self._ask(job, plan, 1)  # for the next one
        elif self._may_borrow(job, plan) and self._hopes(job):
            customer.waits.append(job)
            self._set_timer(min(REPLY_TIMEOUT, self._patience_of(job)), job.request.id, WAIT_OVER)
        else:
            self._end(job, Cause.CEILING)

    def _borrow(self, job: OpenRequest, plan: Plan) -> None:
        """Ask for what is missing at once, while the total is on its way."""
        if job.customer.ceiling < job.request.units and self._may_borrow(job, plan):
            self._ask(job, plan, ASK_FIRST)

    def _hopes(self, job: OpenRequest) -> bool:
        """Questions are out for its customer."""
        return self._questions.count_pending(job.request.customer, self._now) > 0

    def _ask(self, job: OpenRequest, plan: Plan, gateways: int) -> None:
        request, customer = job.request, job.customer
        full = customer.full * self._part
        wanted = max(request.units - customer.ceiling, (full - customer.ceiling) / gateways)
        ask = LoanRequest(
            request.customer, 0, wanted, request.plan, request.entry_points, request.first_entry
        )
        for _ in range(min(gateways, ASK_MOST - job.asks)):
            tell = self._questions.request(ask, self._s.fleet_size, self._now)
            if tell is not None:
                job.asks += 1
                self._out.append(tell)

    def _on_peer(self, event: PeerMessage) -> None:
        """A question for a part of a ceiling, or the answer to one; anything else is dropped."""
        message = decode(event.data)
        if isinstance(message, LoanRequest):
            self._lend(message, event.sender)
        elif isinstance(message, LoanReply):
            units = self._questions.accept_reply(message, event.sender, self._now)
            customer = self._customers.get(message.customer)
            if units is not None and customer is not None:
                self._refill(customer)
                customer.ceiling += units
                self._go_on(customer)
                self._refill(customer)  # what nobody waits for is saved up within this gateway's part

    def _lend(self, ask: LoanRequest, sender: int) -> None:
        """What is taken off here counts for the sender. Nothing is lent to or by a gateway without a part."""
        fleet = self._s.fleet_size
        if not self._s.limits.peers:  # a reload may have ruled messages out while one was on its way
            return
        known = ask.plan < len(self._s.plans) and 1 < ask.entry_points <= fleet and sender != self._s.index
        if not known or not all(
            is_entry_point(n, ask.first_entry, ask.entry_points, fleet) for n in (sender, self._s.index)
        ):
            return
        plan = self._s.plans[ask.plan]
        customer = self._customers.get(ask.customer)
        if customer is None and plan.ceiling_rate > 0:
            customer = self._customer(ask.customer, plan, ask.entry_points)
        units = 0.0
        if customer is not None and customer.fill > 0 and not customer.waits:
            self._refill(customer)
            keep = 0.5 if self._now - customer.here_at < GIVE_BUSY else 0.0
            units = max(0.0, min(ask.units, customer.ceiling * (1.0 - keep)))
            customer.ceiling -= units
        self._out.append(Tell(sender, encode(LoanReply(ask.customer, ask.loan_id, units))))

    def _go_on(self, customer: Customer) -> None:
        """Requests that wait go on in their order, ask once more, or are told that there is nothing."""
        while customer.waits:
            job = customer.waits[0]
            self._about = job.request.id
            plan = self._s.plans[job.request.plan]
            if self._may_pass(job, plan):
                customer.waits.pop(0)
                self._try(job)
                continue
            if not self._hopes(job):
                self._ask(job, plan, 1)
            if self._hopes(job):
                return
            self._end(job, Cause.CEILING)

    # --- choose -----------------------------------------------------------------------------------------

    def _rank(self, job: OpenRequest, plan: Plan, hot: bool) -> float:
        """Who is refused first when room is short: beyond quota (1), then the least worth for its work."""
        value = job.cls.worth * plan.price / (self._usual[job.request.cls] or self._longest)
        self._mean_value += SMOOTH * (value - self._mean_value)
        return 1.0 if hot else max(0.0, 1.0 - value / self._mean_value)

    def _room(self, rank: float = 0.0) -> bool:
        """Less is out than all servers' limits together allow.

        Where they come to a fraction of an attempt at each server, whole ones of their sum may be out, and a
        fraction holds for the mean over time: what is allowed to be out saves up credit, what is out spends
        it. So all gateways together keep the limit, and a random burst at one of them is not refused.
        """
        if self._pooled is not None:
            if self._live + 1 <= self._allowed() * (1.0 - KEPT * rank):
                return True
            self._accrue()
            spent = self._live * (max(self._usual) or METER_PATIENCE * self._longest)
            return self._credit > spent + RESERVE * rank * self._longest
        held, limit = self._sums
        if len(self._ready) <= MANY or self._now - self._sums_at >= SUMS_KEPT:
            # What one server holds beyond its limit, all of it given up perhaps, takes no room at the others.
            old = self._now - int(GHOST_AIMS * self._longest)
            held = limit = 0.0
            for server in self._ready:  # written out: this and the choice are most of what a request costs
                most, count = server.limit.most, server.held(old) if server.ghosts else len(server.out)
                held += count if count < most else most
                limit += most
            self._sums, self._sums_at = (held, limit), self._now
        return limit > 0 and held < max(1.0, limit * (1.0 - KEPT * rank))

    def _allowed(self) -> float:
        """Attempts that this gateway may have out in all, where all servers have one limit."""
        return self._pooled.most * len(self._ready) if self._pooled is not None else 0.0

    def _accrue(self) -> None:
        """Bring the credit up to now."""
        if self._pooled is not None:
            gain = self._allowed() - self._live
            self._credit = min(self._longest, self._credit + gain * (self._now - self._credit_at))
        self._credit_at = self._now

    def _choose(self, job: OpenRequest, avoid: str | None) -> Server | None:
        """The server with the least expected wait, among those that every rule allows for this attempt."""
        if not self._room():
            return None
        old = self._now - int(GHOST_AIMS * self._longest)
        shunned, each = self._shunned(), self._pooled is None
        cold_since, kept = self._now - self._s.safety.cold_span, self._now - KEPT_FOR
        best, least, new = None, 0.0, min(NEW_MOST, 1.0 + NEW_PRICED * self._s.handshake_price)
        # What the expected wait goes by is written out here: this loop is most of what a request costs.
        now, mean, zone, weighted = self._now, self._mean_load, self._s.zone, self._s.weighted
        draw, exp, log, power = self._random.random, math.exp, math.log, math.pow
        for server in self._candidates():
            if server is None:
                if best is not None:
                    break  # one of those drawn will do
                continue
            line = server.line
            if each and (server.held(old) if server.ghosts else len(server.out)) >= server.limit.most:
                continue
            if job.ran and not self._fits(job, server):
                continue
            if server.started > cold_since and not self._cold_room(server):
                continue
            # Expected time to an answer, in usual answer times, as far as it is known. The less is known of a
            # server's load, the more chance decides, in proportion to what its kind does: gateways that know
            # as little as each other must not all pick the same server.
            known, seen, name = exp((server.load_at - now) / STALE), server.seen, line.server
            trust = seen / (seen + PACE_TRUST)
            pace = server.pace * trust + server.kind.pace * (1.0 - trust)
            # 5% either way, and a chance that is exponentially distributed.
            chance = (0.95 + NEAR_ALIKE * draw()) * power(-log(1.0 - draw()), (1.0 - known) / 2)
            held = len(server.out) + (server.load * known + mean * (1.0 - known))
            if weighted:
                held /= max(0.01, line.weight)
            cost = pace * (1.0 + ERROR_WEIGHT * server.errors) * (1.0 + held) * chance
            if name in shunned:
                if server.out or self._now < self._earliest_trial(job, server):
                    continue
                if self._pooled is None:
                    cost = 0.0  # its trial is due; hundreds of gateways try it without being made to
            if line.zone != zone:
                cost *= FAR
            if server.started <= cold_since and (not server.idle or server.idle_at < kept):
                cost *= new  # nobody is connected to one that has just come: what it may take is its limit
            if name == avoid:
                cost = (1.0 + cost) * AVOID
            if best is None or cost < least:
                best, least = server, cost
        return best

    def _candidates(self) -> Iterable[Server | None]:
        """All servers; or some drawn by chance, None, and then all, for where none of those will do."""
        near = self._near
        if len(near) <= MANY:
            return near
        draw = self._random.random
        return chain([near[int(draw() * len(near))] for _ in range(LOOK)], (None,), near)

    def _fits(self, job: OpenRequest, server: Server) -> bool:
        """Rule 2: once an attempt may have run, a keyed request stays in its group and within its window."""
        for line, sent in job.ran:
            if job.cls.effect is Effect.ONCE:
                return False
            if job.cls.effect is Effect.KEYED:
                # It may be written only when a connection has come up, and has to be there within the window.
                if self._now - sent >= job.cls.key_memory - self._s.tick - self._s.limits.connect_timeout:
                    return False
                if job.cls.group is Group.ZONE and line.zone != server.line.zone:
                    return False
                if job.cls.group is Group.CELL and line.cell != server.line.cell:
                    return False
        return True

    def _shunned(self) -> dict[str, None]:
        """The worst of those that are set aside, or silent for so long that they are about to be."""
        if len(self._near) > MANY and self._now - self._aside_at < SUMS_KEPT:
            return self._aside
        since = self._now - SILENCE * (max(self._usual) or SECOND / 10)
        suspects = [
            s for s in self._near
            if s.aside or (s.out and s.answered_at < since and next(iter(s.out.values())) < since)
        ]  # fmt: skip
        self._aside, self._aside_at = {}, self._now
        if not suspects:
            return self._aside
        suspects.sort(key=lambda s: (-s.errors, s.answered_at))
        # A refused connect proves a server down, so there is no floor under the share of those set aside.
        down = sum(s.errors >= 1.0 for s in suspects)
        self._aside = {s.line.server: None for s in suspects[: max(down, int(ASIDE_MOST * len(self._near)))]}
        return self._aside

    @staticmethod
    def _earliest_trial(job: OpenRequest, server: Server) -> int:
        """When a request may try a server that is set aside.

        One that must not run twice tries at once only a server that refused connections, as nothing is lost
        where it still does; any other only where no request that may be repeated has come to try it first.
        """
        harmless = job.cls.effect is not Effect.ONCE or server.refused
        return server.trial if harmless else server.trial + MEAN_SPAN

    def _aside_span(self) -> int:
        calls = ASIDE_CALLS * (1.0 if self._pooled is None else len(self._ready))
        return int(min(MEAN_SPAN, calls * (max(self._usual) or SECOND / 10)))

    def _cold_room(self, server: Server) -> bool:
        """Rule 4: a server that has just started gets this gateway's share of what it can surely take.

        That is judged by what warm servers of its kind answer, or of any kind where there is none.
        """
        safety = self._s.safety
        started = server.started
        if not self._cold(server):
            return True
        age = max(0, self._now - started) / max(1, safety.cold_span)
        grown = safety.cold_from + (1 - safety.cold_from) * age
        if self._now - self._warm_at > STALE:  # not for each cold server of each choice: that is quadratic
            kinds, self._warm_at = [s.line.kind for s in self._ready if not self._cold(s)], self._now
            self._warm_of = {kind: kinds.count(kind) for kind in self._kinds}
        warm, rate = self._warm_of.get(server.line.kind, 0), server.kind.rate_at(self._now)
        if not warm:
            warm, rate = sum(self._warm_of.values()), sum(k.rate_at(self._now) for k in self._kinds.values())
        pace = COLD_MARGIN * safety.fall_multiple * grown * rate / max(1, warm)
        server.cold_left = min(1.0, server.cold_left + pace * (self._now - server.cold_at) / SECOND)
        server.cold_at = self._now
        return server.cold_left >= 1.0

    def _cold(self, server: Server) -> bool:
        started = server.started
        return started > 0 and self._now - started < self._s.safety.cold_span

    # --- send -------------------------------------------------------------------------------------------

    def _try(self, job: OpenRequest, avoid: str | None = None) -> None:
        """Start the next attempt, or end the request where there is none to make."""
        job.held = False
        until_aim = job.aim_at - self._now - self._s.tick
        if job.attempts - job.unsent >= self._s.limits.max_attempts or until_aim <= self._s.tick:
            self._end(job, Cause.ATTEMPTS if job.attempts else Cause.NO_TIME)
            return
        server = self._choose(job, avoid)
        if server is None:
            self._end(job, Cause.ROOM)
            return
        self._send(job, server)

    def _send(self, job: OpenRequest, server: Server) -> None:
        left, until_aim = job.deadline - self._now, job.aim_at - self._now - self._s.tick
        timeout = left if job.cls.late_worth > 0 else min(left, until_aim)
        spent, most = job.attempts - job.unsent, self._s.limits.max_attempts
        repeatable = job.cls.effect is not Effect.ONCE and spent + 1 < most
        if repeatable and not job.ran and not job.live:  # a further one has what is left
            if self._s.limits.may_cancel:
                delay = max(int(until_aim * FIRST_SPLIT), self._hush(job))
                self._set_timer(delay, job.request.id, job.attempts)
            elif job.attempts == 0:
                timeout = min(timeout, max(self._s.tick, int(until_aim * FIRST_SPLIT)))
        if job.attempts == 0 and not job.request.sent:
            job.customer.ceiling -= job.request.units
        job.customer.open += not job.live
        self._out.append(Send(job.request.id, server.line.server, timeout))
        self._accrue()
        self._live += 1
        server.out[(job.request.id, job.attempts)] = self._now
        if server.aside:
            server.trial = self._now + self._aside_span()
        server.idle = max(0, server.idle - 1) if self._now - server.idle_at < KEPT_FOR else 0
        server.cold_left -= 1.0
        job.live[job.attempts] = (server, self._now)
        job.attempts += 1

    def _hush(self, job: OpenRequest) -> int:
        """Time without an answer that tells something of a server; less only of a client's short patience."""
        return int(SILENCE * self._usual[job.request.cls])

    # --- outcome ----------------------------------------------------------------------------------------

    def _on_outcome(self, event: Outcome) -> None:
        self._about = event.request
        server = self._servers.get(event.server)
        job = self._jobs.get(event.request)
        self._accrue()
        self._live = max(0, self._live - 1)
        if server is not None:
            server.out.pop((event.request, event.attempt), None)
            self._pace_limit(server, event, job)
            self._learn(server, event, job)
        if job is None:
            return
        live = job.live.pop(event.attempt, None)
        if event.result is Result.NOT_SENT and job.unsent < self._s.limits.max_attempts:
            job.unsent += 1  # its server was leaving, say; not without end where this gateway has no room
        if event.final or not job.live:  # a second copy may be out still; the request is not
            job.customer.open = max(0, job.customer.open - 1)
        if event.final:
            if event.result is Result.OK and self._s.units_settle and event.true_units is not None:
                units = event.true_units - job.request.units
                job.customer.debt = max(0.0, job.customer.debt + units)
                self._settle(job, units)
            elif job.unsent == job.attempts:  # its client left before a byte went out
                self._settle(job, -job.request.units)
            del self._jobs[event.request]
            return
        if live is not None and not event.result.never_ran:
            job.ran.append((live[0].line, live[1]))
        if job.live:
            return
        if event.result.never_ran or (job.cls.effect is not Effect.ONCE and self._retries >= 1):
            if not event.result.never_ran:
                self._retries -= 1
            self._try(job, event.server)
        else:
            self._end(job, Cause.ATTEMPTS)

    def _on_expired(self, event: Expired) -> None:
        """The client has left. What is out runs on; what was counted and never sent on is not used."""
        job = self._jobs.pop(event.request, None)
        if job is not None and job in job.customer.waits:
            job.customer.waits.remove(job)
        if job is not None and job.attempts == 0:
            self._settle(job, -job.request.units)
        elif job is not None and job.live:
            job.customer.open = max(0, job.customer.open - 1)

    def _pace_limit(self, server: Server, event: Outcome, job: OpenRequest | None) -> None:
        """Overload: keep so little at a server that answers meet their aims; the rest is refused.

        Guards against servers driven so far that they only work on what nobody waits for. What was given up
        goes on waiting at the server, so it counts until the server has answered something sent later.
        """
        sent, limit = self._now - event.elapsed, server.limit
        # A limit that is not reached is not moved up; one shared by all servers is not moved down either.
        if self._pooled is not None:
            used = self._live + 1 > max(1.0, self._allowed() / 2) or self._credit < self._longest / 2
        else:
            used = len(server.out) + 1 >= limit.most / 2
        late = event.result is Result.FULL
        if event.result in (Result.TIMEOUT, Result.CANCELLED):
            old = self._now - int(GHOST_AIMS * self._longest)
            server.ghosts = [ghost for ghost in server.ghosts if ghost > old] + [sent]
            late = job is None or event.elapsed > LATE_PART * job.cls.aim
        elif event.result is Result.OK:
            server.ghosts = [ghost for ghost in server.ghosts if ghost > sent]
            late = job is not None and event.elapsed > LATE_PART * job.cls.aim
            if not late and used:
                limit.most += LIMIT_RAISE / self._s.fleet_size / max(1.0, limit.most)
        if late and sent >= limit.cut_at and (used or self._pooled is None):
            limit.most = max(1.0 / self._s.fleet_size, limit.most * LIMIT_CUT)
            limit.cut_at = self._now

    def _learn(self, server: Server, event: Outcome, job: OpenRequest | None) -> None:
        """Keep the server's pace, error share and load."""
        if event.load:
            fields = dict(zip(self._s.report_fields, event.load, strict=False))
            if "inflight" in fields:
                server.load = max(0.0, fields["inflight"] - len(server.out))
            elif "util" in fields:
                busy = min(0.8, max(0.0, fields["util"]))
                server.load = busy / (1 - busy)
            elif "qps" in fields:
                # What comes in a second, times how long each stays, is what is there.
                stay = server.pace * self._mean_answer / SECOND
                server.load = max(0.0, fields["qps"] * stay - len(server.out))
            if not fields.keys().isdisjoint(LOAD_FIELDS):
                server.load_at = self._now
                self._mean_load += SMOOTH * (server.load - self._mean_load)
        refused_before = server.refused
        server.refused = event.result is Result.CONNECT_FAILED or (
            server.refused and event.result in (Result.NOT_SENT, Result.TIMEOUT, Result.CANCELLED)
        )
        if event.result in (Result.OK, Result.ERROR, Result.FULL):
            server.answered_at = self._now
            server.idle, server.idle_at = server.idle + 1, self._now
        usual = self._usual[job.request.cls] or float(event.elapsed) if job is not None else 0.0
        given_up = event.result in (Result.TIMEOUT, Result.CANCELLED)
        if usual and (event.result is Result.OK or (given_up and event.elapsed > server.pace * usual)):
            # What was given up would have taken longer still: a kind too slow for its load must show it.
            server.count_pace(event.elapsed / usual, event.result is Result.OK, self._now)
        if event.result is Result.OK:
            # A refused connect had proved it down, and now it is up.
            server.errors = 0.0 if refused_before else server.errors * (1 - SMOOTH)
            server.aside = server.aside and server.errors > ERROR_LIMIT
            self._mean_answer += PACE_SMOOTH * (event.elapsed - self._mean_answer)
            if job is not None:
                self._usual[job.request.cls] = usual + PACE_SMOOTH * (event.elapsed - usual)
        elif event.result in (Result.ERROR, Result.RESET, Result.CONNECT_FAILED):
            server.errors += (1 - server.errors) * (1.0 if event.result is Result.CONNECT_FAILED else SMOOTH)
            if server.errors > ERROR_LIMIT:
                server.put_aside(self._now, self._aside_span())
        elif event.result is Result.TIMEOUT:
            hushed = job is None or event.elapsed >= self._hush(job)
            if hushed and server.silent(self._now, self._now - event.elapsed):
                server.put_aside(self._now, self._aside_span())
        elif event.result is Result.FULL:
            server.load, server.load_at = server.load + 4, self._now

    def _on_timer(self, event: Timer) -> None:
        if event.token == WATCH_TOKEN:
            self._out.append(Watch(True))
            return
        request, attempt = self._tokens.pop(event.token, (-1, None))
        job = self._jobs.get(request)
        if job is None:
            return
        self._about = request
        if attempt == WAIT_OVER:
            if job in job.customer.waits:
                self._refill(job.customer)
                job.customer.waits.remove(job)
                if self._may_pass(job, self._s.plans[job.request.plan]):
                    self._try(job)
                else:
                    self._end(job, Cause.CEILING)
                self._go_on(job.customer)
            return
        if attempt is None:
            # It means nothing to a request that has its total: its attempt has only just begun.
            if job.held:
                self._decide_alone(job, self._s.plans[job.request.plan])
            return
        server, sent = job.live.get(attempt, (None, 0))
        # Silence, not slowness: waiting longer on a server that answers others is cheaper than a repeat.
        if server is None or self._retries < 1 or self._pooled is not None:
            return
        if server.silent(self._now, sent):
            server.put_aside(self._now, self._aside_span())
            if self._s.limits.second_copies and job.cls.effect is Effect.REPEATABLE:
                # It may only be slow, and what runs there goes on in any case: the first answer counts.
                other = self._choose(job, server.line.server)
                if other is not None:
                    self._retries -= 1
                    self._send(job, other)
            elif self._s.limits.may_cancel:
                self._out.append(Cancel(job.request.id, attempt))

    def _set_timer(self, delay: int, request: int, attempt: int | None) -> None:
        self._token = (self._token + 1) & 0xFFFFFFFF
        self._tokens[self._token] = (request, attempt)
        self._out.append(SetTimer(delay, self._token))

    # --- answer -----------------------------------------------------------------------------------------

    def _end(self, job: OpenRequest, cause: Cause) -> None:
        """The one final answer where no attempt gave it. Rules 1 and 2 meet here."""
        for attempt in job.live:
            if self._s.limits.may_cancel:
                self._out.append(Cancel(job.request.id, attempt))
        harmless = not job.live and (not job.ran or job.cls.effect is Effect.REPEATABLE)
        if not job.attempts:
            if not job.held:
                job.customer.debt = max(0.0, job.customer.debt - job.request.units)
            self._settle(job, -job.request.units)
        if harmless:
            self._out.append(Refuse(job.request.id, self._retry_after(job), cause))
        else:
            self._out.append(Fail(job.request.id, cause))
        if job in job.customer.waits:
            job.customer.waits.remove(job)
        del self._jobs[job.request.id]

    def _retry_after(self, job: OpenRequest) -> int:
        """About one unit's refill, or until these units fit, and never past the end of the window."""
        plan = self._s.plans[job.request.plan]
        if plan.rate <= 0:
            return min(self._s.limits.max_retry_after, job.cls.aim)
        _, length = window(job.request.customer, plan, self._now + self._shift)
        missing = max(1.0, job.customer.debt + job.request.units - plan.burst)
        return min(length, self._s.limits.max_retry_after, int(missing / plan.rate * SECOND))

    # --- the list of servers ----------------------------------------------------------------------------

    def _on_members(self, event: Members) -> None:
        if event.kind is ListKind.FAILED:
            # Asked again well before this gateway counts as told; not at once, since all may have failed.
            delay = self._s.safety.ask_within // WATCH_AGAIN
            self._out.append(SetTimer(self._random.randint(delay, 2 * delay), WATCH_TOKEN))
            return
        if event.kind is ListKind.CACHED and self._s.ask_for_list:
            self._out.append(Watch(True))
        named = {line.server: None for line in event.members}
        if not self._servers and self._s.fleet_size > LIMIT_START:
            # One gateway's part of a server's limit is a fraction of an attempt, and little is seen of each.
            # Limits of their own would let one attempt out at every server, by every gateway.
            self._pooled = AttemptLimit(LIMIT_START / self._s.fleet_size, self._now)
            if self._s.fleet_size > len(named):
                self._seldom, self._calling = True, 0.5
        if event.kind is not ListKind.CHANGES:
            for name in [n for n in self._servers if n not in named]:
                del self._servers[name]
        for line in event.members:
            if line.state is State.GONE:
                self._servers.pop(line.server, None)
            elif line.server in self._servers:
                server = self._servers[line.server]
                if line.started_at != server.line.started_at:
                    server.restarted(line, self._now, self._shift)
                    server.cold_left, server.cold_at = self._random.random(), self._now
                server.line = line
            else:
                limit = self._pooled or AttemptLimit(LIMIT_START / self._s.fleet_size, self._now)
                kind = self._kinds.setdefault(line.kind, ServerKind(self._now))
                server = self._servers[line.server] = Server(line, self._now, limit, kind, self._shift)
                # Chance, not nothing: of hundreds of gateways, each with a small share, some send at once.
                server.cold_left = self._random.random()
            if line.state is not State.GONE and event.kind is not ListKind.CACHED:
                self._servers[line.server].listed_at = self._now
        self._list()

    def _list(self) -> None:
        """The servers that this gateway sends to. Of a zone in part use it keeps to the same ones."""
        self._accrue()
        parts, each = self._zones, b"%d/%%b" % self._s.index
        self._ready = [
            s for s in self._servers.values() if s.line.state is State.READY
            and (not parts or crc32(each % s.line.server.encode()) < parts.get(s.line.zone, 1.0) * 2**32)
        ]  # fmt: skip
        # In large fleets each gateway keeps to a few servers, by its number, and so meets them often enough.
        self._near, self._warm_at = self._ready, self._now - MAX_NAME_LIFETIME
        self._sums_at = self._aside_at = self._now - SUMS_KEPT
        if self._s.fleet_size > len(self._ready) > SAMPLE:
            order = sorted(self._ready, key=lambda s: s.line.server)
            first = self._s.index * SAMPLE % len(order)
            self._near = (order + order)[first : first + SAMPLE]
