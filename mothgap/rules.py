"""The decision module of a mothgap gateway. Its events, actions and settings are in `mothgap/interface.py`.

The stages of a request, in the order of this file:

meter   `_on_request` adds its units to the customer's count on the counter service and waits for the total;
        `_on_counted` sends it on while the total stays within the quota, otherwise refunds the units and
        refuses it at once. `_within_ceiling` enforces ceilings by this gateway's own share, whatever the
        counter says.
choose  `_choose_server` takes the server with the least expected wait among those that may be sent to.
send    `_send_to` starts an attempt; its timeout leaves time for another one where a repeat is allowed.
outcome `_on_outcome` updates statistics, and retries where the class and the retry budget allow it.
answer  `_finish` sends the one final answer, as a refusal only where that is known to be harmless.
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
from mothgap.state import (
    AVERAGING_TIME,
    SLOW_SMOOTHING,
    AttemptLimit,
    Customer,
    OpenRequest,
    Server,
    ServerKind,
)

# How long a request waits for its total, as a share of the class's aim.
TOTAL_WAIT_SHARE = 0.1
# Consecutive failed counter calls after which requests stop waiting for it; one or two occur at random.
BREAKER_THRESHOLD = 3
# Interval between trial calls while the breaker is open, in time limits of the counter: a light load for it.
BREAKER_TRIAL_INTERVAL = 4
# Factor on the share of requests that call the counter, after a call that found it overloaded.
CALL_SHARE_DECREASE = 0.7
# Increase of that share with each prompt answer; with the factor above, one call in ten is late.
CALL_SHARE_INCREASE = 0.02
# Share of the counter's time limit; slower answers do not increase the share of calls.
PROMPT_CALL_SHARE = 0.5
# Share of a class's deadline by which a first try's time left may differ from the usual one.
TIME_LEFT_TOLERANCE = 0.01
# First tries whose time left is remembered, by class: some clients may be far less patient than most.
FIRST_TRY_SAMPLES = 16
# Minimum share of requests that call the counter, so that spare capacity is noticed soon.
MIN_CALL_SHARE = 0.1
# Use of the burst at which a customer gets exactly that share; below and above, it is scaled with the square.
CALL_REFERENCE_USE = 0.5
# Windows after a lack of room in which classes of less worth leave some room for classes of more worth.
SHORTAGE_WINDOWS = 2.0
# Room that every class leaves free then, as a share of the largest request.
SHORTAGE_RESERVE = 0.5
# Windows over which past decisions on a customer fade: long periods over the quota last longer.
DECISION_FADE_WINDOWS = 8.0
# Counter calls for a customer over its quota, for each that is likely to find room.
OVER_QUOTA_CALL_FACTOR = 2.0

# Weight of a new sample in a moving average: about the last ten samples count.
SMOOTHING = 0.2

# Error rate above which a server is ejected; healthy servers are far below.
EJECT_ERROR_RATE = 0.3
# Maximum share of the servers that may be ejected: if more look bad, the cause is probably shared.
MAX_EJECTED_SHARE = 0.5
# Mean answer times that an ejected server waits before one request tries it.
EJECTION_ANSWER_TIMES = 6.0
# Usual answer times without any answer after which a server counts as silent.
SILENCE_ANSWER_TIMES = 5.0
# Weight of a server's error rate in its expected wait: an error costs a request.
ERROR_WEIGHT = 4.0
# Factor on the expected wait at the server where the last attempt failed: used only if all are as slow.
SAME_SERVER_PENALTY = 10.0

# Retry budget: further attempts per request in the long run; they must not double an overload.
RETRY_SHARE = 0.15
# Further attempts that may be saved up: one bad server's share of a burst.
MAX_RETRY_TOKENS = 10.0
# Share of the time to the aim that the first of two possible attempts gets.
FIRST_ATTEMPT_SHARE = 0.5

# Share of the aim; a server holds too much if half of its answers are slower than this.
LATE_ANSWER_SHARE = 0.3
# Share of the maximum credit that requests with the highest refusal priority leave to others.
CREDIT_RESERVE = 0.5
# Initial limit of attempts in flight at a server, for all gateways together: a few for each core.
INITIAL_LIMIT = 4.0
# Increase of the limit, for all gateways together, after as many timely answers as the limit allows attempts.
LIMIT_INCREASE = 1.0
# Factor on a server's limit after an answer that came too late.
LIMIT_DECREASE = 0.6
# Share of all limits that requests with the highest refusal priority leave to others.
LIMIT_RESERVE = 0.3
# Aims after which a server that never answered is assumed to have dropped an abandoned attempt.
ABANDONED_EXPIRY_AIMS = 2.0

# A failed call to the list service is repeated after one to two such fractions of `Safety.ask_within`.
LIST_RETRY_DIVISOR = 10

# Maximum gateways that one request asks for ceiling units: each prolongs its wait a little.
MAX_PEERS_ASKED = 4
# Gateways of these that are asked at once: one message may be lost, or one gateway may have nothing to lend.
INITIAL_PEERS_ASKED = 2
# In units of the largest request; a share of a ceiling with less left is refilled before it is needed.
LOW_CEILING_UNITS = 1.0
# Microseconds after a customer's last request here during which half of its ceiling units are kept for it.
BUSY_CUSTOMER_TIME = SECOND
# Stands in place of an attempt for the timer of a request that waits for ceiling units.
CEILING_WAIT_TIMER = -1
# Customers whose state is kept, at about a kilobyte each: one-off senders must not take all memory.
MAX_CUSTOMERS = 8_192
# Customers that are looked at for one that can be evicted early.
EVICTION_CANDIDATES = 16
# The timer that calls the list service again; the timers of requests count from 1.
WATCH_TOKEN = 0

# Share of the allowed sends to a cold server; the rest covers random variation and uneven sends by others.
COLD_MARGIN = 0.4

# Servers that a gateway of a large fleet sends to; a choice then costs the same in a fleet of any size.
SUBSET_SIZE = 8
# Above this number of servers a choice draws some at random, and sums over all servers are cached.
SAMPLING_THRESHOLD = 64
# Servers drawn: the best of two gives most of what the best of all would give, and many may be unsuitable.
SAMPLE_SIZE = 24
# Microseconds for which results over all servers are cached; short compared with any answer time.
CACHE_TIME = 20_000
# Microseconds after which the load that a server last reported says little.
LOAD_STALE_TIME = SECOND
# Fields of load reports that describe load.
LOAD_FIELDS = ("inflight", "util", "qps")

# Factor on the expected wait at a server of another zone: the network path costs something and is longer.
OTHER_ZONE_FACTOR = 1.3
# Increase of the factor on the expected wait where a connection has to be opened, per price of a handshake.
HANDSHAKE_PRICE_FACTOR = 400.0
# Maximum of that factor, at which the server is used only if no other one is suitable.
MAX_HANDSHAKE_PENALTY = 30.0
# Microseconds after an answer during which its connection is assumed to be open still.
IDLE_CONNECTION_TIME = 5 * SECOND
# Relative range within which expected waits count as equal and are decided at random.
TIE_RANGE = 1.05 - 0.95
# Answers of a server at which its own latency weighs as much as the latency of its kind.
LATENCY_PRIOR_SAMPLES = 10.0


class Gateway:
    """One gateway's decisions: a deterministic function of its settings, its seed and its events."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self._settings = settings
        self._rng = random.Random(seed)
        self._now, self._clock_shift = now, 0  # offset of the shared clock, which names windows
        self._actions: list[Action] = []
        self._current_request: int | None = None  # the open request that the current event concerns
        self._servers: dict[str, Server] = {}
        self._ready: list[Server] = []
        self._subset: list[Server] = []  # the ready servers that this gateway sends to
        self._zone_parts: dict[int, float] = {}  # by zone: the part in use, for zones in partial use
        self._kinds: dict[int, ServerKind] = {}
        self._warm_counts: dict[int, int] = {}  # warm servers by kind, counted at `_warm_counted_at`
        self._warm_counted_at = now - MAX_NAME_LIFETIME
        # One limit for all servers, in fleets of more than a few gateways.
        self._shared_limit: AttemptLimit | None = None
        # More gateways than servers: most customers send less than one request per window here.
        self._sparse_customers = False
        # Attempts in flight; credit saved up, in attempt-microseconds, and when it was brought up to date.
        self._in_flight, self._credit, self._credit_updated_at = 0, 0.0, now
        self._mean_value = 1e-9  # moving average of worth per work
        self._mean_latency = 0.0  # moving average of answer times, over all classes
        self._mean_load = 0.0  # moving average of reported loads
        self._customers: OrderedDict[int, Customer] = OrderedDict()
        self._open_requests: dict[int, OpenRequest] = {}
        self._open_calls: dict[int, list[int | None]] = {}  # count name: requests of its open calls
        self._call_amounts: dict[int, list[tuple[Customer, float]]] = {}
        self._class_latency = [0.0 for _ in settings.classes]  # moving average of answer times by class
        # Consecutive failed counter calls, each sent after the previous one had failed; time of the last one.
        self._counter_failures, self._counter_failed_at = 0, now - MAX_NAME_LIFETIME
        self._counter_trial_at = now  # time of the next trial call
        # By class: usual time left of a try, and votes for it.
        self._usual_time_left = [(0, 0) for _ in settings.classes]
        # By class: time left of first tries, where clients mark retries.
        self._first_tries: dict[int, deque[int]] = {}
        # By plan: share of the decisions by total that were refusals.
        self._plan_refusal_rate = [0.0 for _ in settings.plans]
        # Share of the requests that call the counter; when it was last lowered.
        self._call_share, self._call_share_cut_at = 1.0, now
        self._retry_tokens = MAX_RETRY_TOKENS
        self._max_worth = max(cls.worth for cls in settings.classes)
        self._max_aim = max(cls.aim for cls in settings.classes)
        self._credit = float(self._max_aim)
        # The part of its even share of ceilings that this gateway holds; the refill time so far, in
        # microseconds at a whole part, and when it was brought up to date.
        self._ceiling_part, self._ceiling_refilled, self._ceiling_refilled_at = 1.0, 0.0, now
        # Value of `_ceiling_refilled`, and the time, when all was handed back.
        self._handed_back_mark, self._handed_back_at = 0.0, now - MAX_NAME_LIFETIME
        # Value of `_ceiling_refilled` when a customer was last evicted with a share that was not full.
        self._evicted_mark = 0.0
        # Occupied attempts and limits of all servers, and when they were summed.
        self._room_sums, self._room_sums_at = (0.0, 0.0), now - CACHE_TIME
        self._ejected: dict[str, None] = {}  # last result of `_ejected_servers`
        self._ejected_at = now - CACHE_TIME
        self._stopping: Stopping | None = None
        # A counter that a reload removes still takes units back.
        self._had_counter = settings.counter is not None
        self._questions = PendingLoans(settings.index, self._rng)
        # By token: request, and attempt; None: its total.
        self._timers: dict[int, tuple[int, int | None]] = {}
        self._last_timer_token = 0

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle one event; return the actions, in order.

        Raises EventError where a decision fails; it holds the actions that were decided before.
        """
        self._now = now
        self._actions = []
        self._current_request = None
        try:
            self._dispatch(event)
        except Exception as error:
            raise EventError(type(event).__name__, self._current_request, self._actions) from error
        return self._actions

    def _dispatch(self, event: Event) -> None:
        match event:
            case Request():
                self._on_request(event)
            case Outcome():
                self._on_outcome(event)
            case Counted():
                self._on_counted(event)
            case CountedLate():
                self._on_counted_late(event)
            case Timer():
                self._on_timer(event)
            case Members():
                self._on_members(event)
            case Expired():
                self._on_expired(event)
            case Unsure():
                if (job := self._open_requests.get(event.request)) is not None:
                    job.unsure = event.unsure
            case PeerMessage():
                self._on_peer_message(event)
            case ClockShift():
                self._clock_shift = event.offset
                for server in self._servers.values():
                    server.update_clock_shift(self._now, self._clock_shift)
            case Share():
                self._on_share(event.part)
            case ZoneParts():
                for server in self._servers.values():
                    if server.member.zone in self._zone_parts:  # they may have recovered
                        server.ejected, server.error_rate = False, 0.0
                self._zone_parts = dict(event.parts)
                self._update_ready()
            case NewSettings():
                self._on_settings(event.settings)
            case Stopping():
                self._on_stopping(event)

    def _on_settings(self, settings: Settings) -> None:
        """Apply new settings. Open requests keep their class; customers keep what they have taken."""
        classes, plans = len(settings.classes), len(settings.plans)
        self._class_latency += [0.0] * (classes - len(self._class_latency))
        self._usual_time_left += [(0, 0)] * (classes - len(self._usual_time_left))
        self._plan_refusal_rate += [0.0] * (plans - len(self._plan_refusal_rate))
        # A server's limit is this gateway's part of the limit for all gateways.
        for limit in {id(server.limit): server.limit for server in self._servers.values()}.values():
            limit.max_in_flight *= self._settings.fleet_size / settings.fleet_size
        self._settings = settings
        self._had_counter |= settings.counter is not None
        self._max_worth = max(cls.worth for cls in settings.classes)
        self._max_aim = max(cls.aim for cls in settings.classes)

    # --- shutdown ---------------------------------------------------------------------------------------

    def _on_stopping(self, event: Stopping) -> None:
        """Shut down: cap all deadlines, so that no request outlives the gateway; refuse late requests."""
        if (previous := self._stopping) is not None:
            refuse_from, until = (
                min(event.refuse_from, previous.refuse_from),
                min(event.until, previous.until),
            )
            event = Stopping(refuse_from, until)
        self._stopping = event
        for job in self._open_requests.values():
            job.cap_deadline(event.until)

    # --- meter ------------------------------------------------------------------------------------------

    def _on_request(self, request: Request) -> None:
        self._current_request = request.id
        plan, cls = self._settings.plans[request.plan], self._settings.classes[request.cls]
        customer = self._get_customer(request.customer, plan, request.entry_points)
        job = self._open_requests[request.id] = OpenRequest(request, cls, customer, self._now)
        job.aim_at -= self._time_spent(request, cls)
        job.counted_units = request.units if request.counted else 0.0  # refunded if it is not sent on
        customer.last_request_at = self._now
        if self._stopping is not None:
            job.cap_deadline(self._stopping.until)
            if self._now >= self._stopping.refuse_from:
                self._finish(job, Cause.STOPPING)
                return
        self._retry_tokens = min(MAX_RETRY_TOKENS, self._retry_tokens + RETRY_SHARE)
        refusal_rate = (customer.recent_refusals + self._plan_refusal_rate[request.plan]) / (
            customer.recent_decisions + 1.0
        )
        # Letting a request through uncounted earns its worth, or costs what going beyond the quota costs.
        likely_over_quota = refusal_rate * (1.0 + plan.beyond_cost - plan.beyond_worth) >= 1.0
        too_late = min(self._max_wait_for_total(job), job.aim_at - self._now) <= self._settings.tick
        if too_late:
            self._finish(job, Cause.NO_TIME)  # also where too little time is left for a call and an answer
        elif not self._within_ceiling(job, plan) and not self._can_borrow(job, plan):
            self._finish(job, Cause.CEILING)
        elif not self._has_room(self._refusal_priority(job, plan, likely_over_quota)):
            self._finish(job, Cause.ROOM)
        elif request.counted and request.sent:
            self._borrow_if_short(job, plan)
            self._on_quota_granted(job, plan)
        elif (
            not request.counted
            and plan.rate > 0
            and self._settings.counter
            and self._known_over_quota(job, plan)
        ):
            # Known to have no room: its units would only be refunded, and retries would overload the counter.
            self._finish(job, Cause.QUOTA)
        else:
            self._check_quota(job, plan, likely_over_quota, refusal_rate)

    def _check_quota(
        self, job: OpenRequest, plan: Plan, likely_over_quota: bool, refusal_rate: float
    ) -> None:
        """Call the counter for the total, or decide without it."""
        request, customer = job.request, job.customer
        if plan.rate <= 0:
            self._borrow_if_short(job, plan)
            self._on_quota_granted(job, plan)
        elif self._settings.counter is None:
            self._decide_locally(job, plan)
        elif self._counter_failures >= BREAKER_THRESHOLD:
            if self._now >= self._counter_trial_at:
                self._counter_trial_at = (
                    self._now + BREAKER_TRIAL_INTERVAL * self._settings.counter.time_limit
                )
                job.counted_units = request.units
                self._add_to_count(job, plan, None, 0.0 if request.counted else job.counted_units)
            self._decide_locally(job, plan)
        else:
            share = self._call_share
            if likely_over_quota and share < 1.0:
                share *= min(1.0, OVER_QUOTA_CALL_FACTOR * (1.0 - refusal_rate))
            elif share < 1.0 and not self._sparse_customers:
                # A total matters more the nearer the customer is to its burst; units that pass without a call
                # are added to the count later.
                share *= ((customer.debt + request.units) / plan.burst / CALL_REFERENCE_USE) ** 2
            if self._rng.random() < share:
                # In a large fleet the customer may not come here again: this call also counts for requests
                # that pass without one. For a request that a lost gateway has counted, the total is only
                # read: that gateway may not have seen it.
                amount = (
                    request.units
                    if likely_over_quota or not self._sparse_customers
                    else request.units / share
                )
                job.counted_units = job.counted_units or amount
                self._add_to_count(job, plan, request.id, 0.0 if request.counted else amount)
                self._borrow_if_short(job, plan)
                max_wait = self._max_wait_for_total(job)
                if self._settings.counter.time_limit > max_wait:
                    self._set_timer(max_wait, request.id, None)
            elif likely_over_quota:
                self._finish(job, Cause.QUOTA)
            else:
                self._decide_locally(job, plan)

    @staticmethod
    def _max_wait_for_total(job: OpenRequest) -> int:
        """How long a request may wait for its total."""
        return min(int(job.cls.aim * TOTAL_WAIT_SHARE), job.request.time_left // 2)

    def _known_over_quota(self, job: OpenRequest, plan: Plan) -> bool:
        """Whether it is known before any call that the quota has no room.

        Where the units may just fit, the total decides, as long as the counter keeps up.
        """
        if self._call_share >= 1.0:
            return job.customer.debt + job.request.units > plan.burst
        return not self._fits_quota(job, plan, job.request.units, job.customer.estimated_other_units)

    def _fits_quota(self, job: OpenRequest, plan: Plan, units: float, uncertain: float = 0.0) -> bool:
        """Whether the quota has room for the units, and for a reserve if the customer lately ran out of it.

        The reserve is for increments that no total holds yet, as going beyond the quota costs more than
        waiting, and for requests of more worth. It prevents a quota at its limit from going to whatever is
        small enough: requests that need more room at once would never find it. The price: the class of less
        worth gets less where a customer asks for more than its quota.
        """
        customer = job.customer
        if plan.rate <= 0:
            return True
        shortage = self._now - customer.last_no_room_at < SHORTAGE_WINDOWS * plan.burst / plan.rate * SECOND
        reserve = (
            (SHORTAGE_RESERVE + 1.0 - job.cls.worth / self._max_worth) * self._settings.units_top
            if shortage
            else 0.0
        )
        fits = customer.has_room(units, job.request.entry_points, reserve, uncertain)
        if not fits:
            customer.last_no_room_at = self._now
        return fits

    def _time_spent(self, request: Request, cls: RequestClass) -> int:
        """Time since the client's first try, if known and if the counter or the servers are overloaded.

        Most tries of a class come with the same time left, which is found by a majority vote. One with less
        is a retry with the rest of its time: once its aim has passed, it would take units and work for
        nothing. One with more is no retry: where many are refused, retries are the majority. This harms
        clients that come with little time, hence it applies only where others would go without. Where clients
        mark retries, the usual time left comes from their first tries.
        """
        usual, votes = self._usual_time_left[request.cls]
        same = abs(usual - request.time_left) <= TIME_LEFT_TOLERANCE * cls.deadline
        self._usual_time_left[request.cls] = (
            (usual, votes + 1) if same else ((request.time_left, 0) if votes <= 0 else (usual, votes - 1))
        )
        if self._settings.marks_retries:
            firsts = self._first_tries.setdefault(request.cls, deque(maxlen=FIRST_TRY_SAMPLES))
            if not request.retry:
                firsts.append(request.time_left)
            usual = min(firsts, default=0)
        is_retry = request.time_left < usual - TIME_LEFT_TOLERANCE * cls.deadline
        overloaded = self._call_share < 1.0 or (
            self._shared_limit is not None and self._credit < self._max_aim / 2
        )
        return cls.deadline - request.time_left if is_retry and overloaded and cls.late_worth < 0.5 else 0

    def _get_customer(self, customer_id: int, plan: Plan, entry_points: int) -> Customer:
        """The customer's state, brought up to date. Customers not seen for long are evicted."""
        customer = self._customers.get(customer_id)
        if customer is None:
            customer = self._customers[customer_id] = Customer(plan.burst, self._now)
            # The ceiling's share starts empty at boot, so that no restart refills it; and also after all of
            # it has been handed back, as another gateway may have served the customer meanwhile.
            # One that was evicted early may have used its share up.
            customer.ceiling_refill_mark = max(self._handed_back_mark, self._evicted_mark)
            if (
                self._counter_failures >= BREAKER_THRESHOLD
                and self._now - self._handed_back_at < MAX_NAME_LIFETIME
            ):
                customer.debt = plan.burst  # no total shows what it has used at other gateways
        elif customer.burst != plan.burst:
            customer.burst = plan.burst  # a plan's new figures apply to units already taken, too
        self._customers.move_to_end(customer_id)
        for other_id in list(islice(self._customers, 2)) if len(self._customers) > 64 else ():
            candidate = self._customers[other_id]
            if (
                candidate is not customer
                and not candidate.open_requests
                and not candidate.waiting
                and self._is_evictable(candidate)
            ):
                del self._customers[other_id]
        if len(self._customers) > MAX_CUSTOMERS:
            self._evict_early(customer)
        if plan.rate > 0:
            elapsed = (self._now - customer.updated_at) / SECOND
            customer.debt = max(0.0, customer.debt - plan.rate * elapsed)
            fade = math.exp(-elapsed * plan.rate / plan.burst / DECISION_FADE_WINDOWS)
            customer.recent_decisions, customer.recent_refusals = (
                customer.recent_decisions * fade,
                customer.recent_refusals * fade,
            )
        customer.updated_at = self._now
        gateways = max(1, entry_points)
        customer.quota_rate = plan.rate
        capacity = plan.ceiling_burst - (reserved_units(plan) if self._settings.limits.peers else 0.0)
        customer.ceiling_refill_rate, customer.ceiling_capacity = (
            plan.ceiling_rate / gateways,
            max(0.0, capacity) / gateways,
        )
        self._refill_ceiling(customer)
        return customer

    def _is_evictable(self, customer: Customer) -> bool:
        """Whether the customer is idle for long and fully refilled: evicting it grants no fresh burst."""
        idle_for_long = self._now - customer.updated_at > MAX_NAME_LIFETIME / 2
        return idle_for_long and self._quota_refilled(customer) and self._ceiling_is_full(customer)

    def _evict_early(self, current: Customer) -> None:
        """Evict a customer that has not been seen for long, if possible one whose quota is refilled.

        Totals show again what it has used of its quota. Its share of the ceiling can't be known any more, so
        customers that are not known begin with an empty one from now on.
        """
        candidates = [
            (customer_id, customer)
            for customer_id, customer in islice(self._customers.items(), EVICTION_CANDIDATES)
            if customer is not current and not customer.open_requests and not customer.waiting
        ]
        if not candidates:
            for customer_id in list(islice(self._customers, EVICTION_CANDIDATES)):
                self._customers.move_to_end(customer_id)
            return
        customer_id, customer = next(
            (pair for pair in candidates if self._quota_refilled(pair[1])), candidates[0]
        )
        if not self._ceiling_is_full(customer):
            self._evicted_mark = customer.ceiling_refill_mark
        del self._customers[customer_id]

    def _quota_refilled(self, customer: Customer) -> bool:
        elapsed = (self._now - customer.updated_at) / SECOND
        return not customer.quota_rate or customer.debt <= customer.quota_rate * elapsed

    def _ceiling_is_full(self, customer: Customer) -> bool:
        """Whether this gateway's share of the customer's ceiling is full."""
        self._refill_ceiling(customer)  # units may have been lent since
        return (
            not customer.ceiling_refill_rate
            or customer.ceiling_capacity * self._ceiling_part <= customer.ceiling_units
        )

    def _refill_ceiling(self, customer: Customer) -> None:
        """Refill this gateway's share of the customer's ceiling up to now."""
        refilled = self._ceiling_refilled + self._ceiling_part * (self._now - self._ceiling_refilled_at)
        added = customer.ceiling_refill_rate * (refilled - customer.ceiling_refill_mark) / SECOND
        capacity = customer.ceiling_capacity * self._ceiling_part
        if customer.waiting:  # units borrowed for these may exceed what is ever saved up here
            capacity = max(capacity, customer.ceiling_units)
        customer.ceiling_units, customer.ceiling_refill_mark = (
            min(capacity, customer.ceiling_units + added),
            refilled,
        )

    def _on_share(self, part: float) -> None:
        """Change this gateway's part of all ceilings.

        What is handed back goes with the units saved up in it, so that the shares of all gateways together
        never exceed the whole.
        """
        if part < self._ceiling_part:
            for customer in self._customers.values():
                self._refill_ceiling(customer)
                customer.ceiling_units *= part / self._ceiling_part
        self._ceiling_refilled += self._ceiling_part * (self._now - self._ceiling_refilled_at)
        self._ceiling_part, self._ceiling_refilled_at = part, self._now
        if part <= 0:
            self._handed_back_mark, self._handed_back_at = self._ceiling_refilled, self._now

    def _enter_window(self, job: OpenRequest, plan: Plan) -> tuple[int, int]:
        """The name of the customer's count now, and its window's length; a new window starts from nothing."""
        number, length = window(job.request.customer, plan, self._now + self._clock_shift)
        name = count_name(job.request.customer, number)
        if job.customer.count_name != name:
            job.customer.count_name, job.customer.total, job.customer.own_total, job.customer.unconfirmed = (
                name,
                0.0,
                0.0,
                0.0,
            )
            # Totals say nothing of the time before.
            job.customer.estimated_other_units, job.customer.excess = 0.0, 0.0
            # This count never held units that were to be refunded.
            job.customer.pending = max(0.0, job.customer.pending)
        return name, length

    def _add_to_count(self, job: OpenRequest, plan: Plan, waiting: int | None, units: float) -> None:
        """Add to the customer's count of this window; `waiting` is the request that waits for the total."""
        name, length = self._enter_window(job, plan)
        # Pending units that have been refilled since need not be added any more.
        units, job.customer.pending = units + min(job.customer.pending, job.customer.debt), 0.0
        self._open_calls.setdefault(name, []).append(waiting)
        self._call_amounts.setdefault(name, []).append((job.customer, units))
        self._actions.append(Count(name, units, min(MAX_NAME_LIFETIME, 2 * length)))

    def _on_counted(self, event: Counted) -> None:
        self._current_request = waiting = self._open_calls[event.name].pop(0)
        customer, amount = self._call_amounts[event.name].pop(0)
        if not self._open_calls[event.name]:
            del self._open_calls[event.name], self._call_amounts[event.name]
        job = self._open_requests.get(waiting) if waiting is not None else None
        self._adapt_call_share(event)
        if event.result is not Result.OK:
            self._on_call_failed(event, customer, amount)
            if job is not None and job.awaiting_total:
                self._decide_locally(job, self._settings.plans[job.request.plan])
            return
        self._counter_failures = 0
        others = self._apply_total(customer, event.name, amount, event.total)
        if job is None or not job.awaiting_total:
            customer.apply_others(others)
            return
        plan = self._settings.plans[job.request.plan]
        customer.debt = max(0.0, customer.debt - plan.rate * (self._now - customer.updated_at) / SECOND)
        customer.updated_at = self._now
        # Other gateways' units without the request's own.
        customer.apply_others(others - (job.request.units if job.request.counted else 0.0))
        customer.mean_pending += SMOOTHING * (max(0.0, amount - job.counted_units) - customer.mean_pending)
        over_quota = not self._fits_quota(job, plan, job.request.units)
        customer.recent_decisions += 1.0
        customer.recent_refusals += over_quota
        self._plan_refusal_rate[job.request.plan] += SLOW_SMOOTHING * (
            over_quota - self._plan_refusal_rate[job.request.plan]
        )
        if over_quota:
            self._finish(job, Cause.QUOTA)
        else:
            customer.debt += job.request.units
            self._on_quota_granted(job, plan)

    def _apply_total(self, customer: Customer, name: int, amount: float, total: float) -> float:
        """What a total shows of other gateways' use, beyond what was estimated."""
        if name != customer.count_name:
            return 0.0
        others = total - customer.total - amount
        # The total can hold at most this part of the increments whose answers were lost; the rest was not
        # added, and becomes pending.
        confirmed = (
            min(max(others, 0.0), customer.unconfirmed) if customer.unconfirmed > 0 else customer.unconfirmed
        )
        customer.pending += customer.unconfirmed - confirmed
        customer.own_total, customer.unconfirmed, others = (
            customer.own_total + amount,
            0.0,
            others - confirmed,
        )
        customer.total = total
        if total < customer.own_total - 0.5:
            # The count was lost: this gateway's own record remains as the lower bound.
            customer.own_total = amount
            return 0.0
        customer.recent_own += amount + confirmed - SMOOTHING * customer.recent_own
        customer.recent_others += others - SMOOTHING * customer.recent_others
        estimated, customer.estimated_other_units = customer.estimated_other_units, 0.0
        return others - estimated

    def _on_counted_late(self, event: CountedLate) -> None:
        """Apply the total of a call that had ended without one: no request waits for it, but it is valid.

        This prevents increments of this gateway from being taken for others' use, or from staying pending
        though they were added, and an outdated view where most calls are late. A total that comes out of
        order is harmless: the next one corrects it.
        """
        customer = self._customers.get(event.name >> 24)
        if customer is not None and event.name == customer.count_name:
            customer.unconfirmed -= event.amount
            customer.own_total -= min(0.0, event.amount)  # it was subtracted when the call ended
            others = self._apply_total(customer, event.name, event.amount, event.total)
            customer.apply_others(others)

    def _on_call_failed(self, event: Counted, customer: Customer, amount: float) -> None:
        """Handle a call that ended without a total.

        Units that were not added are pending; those that may have been added are this gateway's own in the
        next total.

        The counter counts as unavailable when calls fail one after another, each sent after the one before it
        had failed: those in one queue or on one broken connection fail together. A counter that rejects calls
        is available.
        """
        if event.result.never_ran:
            customer.pending += amount
        elif event.name == customer.count_name:
            customer.unconfirmed += amount
            customer.own_total += min(0.0, amount)
        if event.result is not Result.FULL and self._now - event.elapsed >= self._counter_failed_at:
            self._counter_failures, self._counter_failed_at = self._counter_failures + 1, self._now

    def _adapt_call_share(self, event: Counted) -> None:
        """Adapt the share of requests that call the counter to its load.

        A call to an overloaded counter also adds the pending units of requests that made none. This prevents
        calls that the counter works on when no request waits for them any more, which would lose the totals
        of all. Answers in time, however few, let the share grow again.
        """
        limit = self._settings.counter.time_limit if self._settings.counter else 0
        if event.result is Result.OK and self._counter_failures >= BREAKER_THRESHOLD:
            self._call_share = 1.0  # it was unavailable, not overloaded
        elif event.result is Result.OK:
            if event.elapsed <= PROMPT_CALL_SHARE * limit:
                self._call_share = min(1.0, self._call_share + CALL_SHARE_INCREASE)
        elif event.result not in (Result.TIMEOUT, Result.FULL):
            pass  # a broken connection says nothing of the counter's load
        elif self._now - event.elapsed >= self._call_share_cut_at:
            self._call_share, self._call_share_cut_at = (
                max(MIN_CALL_SHARE, self._call_share * CALL_SHARE_DECREASE),
                self._now,
            )

    def _correct_count(self, job: OpenRequest, units: float) -> None:
        """Correct the count: the counted units were estimates, or the request was not sent on.

        On an overloaded counter the correction is added with the next call for the customer.
        """
        plan = self._settings.plans[job.request.plan]
        # Its plan may have lost its quota meanwhile.
        if not job.counted_units or plan.rate <= 0 or job.unsure:
            return
        if not self._had_counter:  # another gateway counted it, and had a counter
            return
        units *= job.counted_units / job.request.units
        if self._call_share >= 1.0 and self._counter_failures < BREAKER_THRESHOLD:
            self._add_to_count(job, plan, None, units)
        else:
            job.customer.pending += units

    def _decide_locally(self, job: OpenRequest, plan: Plan) -> None:
        """Decide without a total: units let through here also stand for those let through elsewhere.

        Without a counter, each other gateway counts for as much as this one, otherwise for as much as totals
        showed of them, where the request has not been counted itself. So the parts of all gateways add up to
        the whole quota while the counter is unavailable. The next total replaces that estimate. This prevents
        one burst for each gateway that shares the quota. It refuses too much where a customer comes here more
        than before; one that moves to other gateways may get three quarters of its quota more.
        """
        if plan.rate <= 0:  # it lost its quota while the total was on its way
            self._on_quota_granted(job, plan)
            return
        customer, cost, others = job.customer, job.request.units, 0.0
        if self._settings.counter is None:
            others = cost * (max(1, job.request.entry_points) - 1)
        elif self._counter_failures >= BREAKER_THRESHOLD or not (self._sparse_customers or job.counted_units):
            others = cost * customer.others_per_own_unit(job.request.entry_points)
        cost += others
        # One request may cost more than the burst where many gateways share it: it waits until the debt is
        # zero.
        if self._fits_quota(job, plan, cost) and (
            self._within_ceiling(job, plan) or self._can_borrow(job, plan)
        ):
            self._borrow_if_short(job, plan)
            self._enter_window(job, plan)
            customer.debt += cost
            customer.estimated_other_units += others
            count_later = self._settings.counter is not None and self._counter_failures < BREAKER_THRESHOLD
            if count_later and not (job.counted_units or self._sparse_customers):
                customer.pending, job.counted_units = customer.pending + job.request.units, job.request.units
            self._on_quota_granted(job, plan)
        else:
            self._finish(job, Cause.QUOTA)

    # --- ceilings ---------------------------------------------------------------------------------------

    def _within_ceiling(self, job: OpenRequest, plan: Plan) -> bool:
        """Whether this gateway's own shares of the ceiling (rule 5) and of the concurrency limit allow it.

        They hold whatever the counter says.
        """
        return self._within_concurrency(job, plan) and (
            plan.ceiling_rate <= 0 or job.request.sent or job.customer.ceiling_units >= job.request.units
        )

    def _within_concurrency(self, job: OpenRequest, plan: Plan) -> bool:
        gateways = max(1, job.request.entry_points)
        return not plan.concurrency or job.customer.open_requests < -(-plan.concurrency // gateways)

    def _can_borrow(self, job: OpenRequest, plan: Plan) -> bool:
        """Whether other gateways may have saved up the ceiling units that are missing here."""
        lending = self._settings.limits.peers and plan.ceiling_rate > 0 and self._ceiling_part > 0
        return lending and job.request.entry_points > 1 and self._within_concurrency(job, plan)

    def _on_quota_granted(self, job: OpenRequest, plan: Plan) -> None:
        """Send a request that the quota allows, as soon as the ceiling allows it. Its units are in the debt.

        It waits no longer than for a total, and only while other gateways may still answer with the missing
        units.
        """
        customer, job.awaiting_total = job.customer, False
        self._refill_ceiling(customer)
        if self._within_ceiling(job, plan):
            self._start_attempt(job)
            low = customer.ceiling_units < LOW_CEILING_UNITS * self._settings.units_top
            if low and self._can_borrow(job, plan) and not self._loan_expected(job):
                self._ask_peers(job, plan, 1)  # for the next request
        elif self._can_borrow(job, plan) and self._loan_expected(job):
            customer.waiting.append(job)
            self._set_timer(
                min(REPLY_TIMEOUT, self._max_wait_for_total(job)), job.request.id, CEILING_WAIT_TIMER
            )
        else:
            self._finish(job, Cause.CEILING)

    def _borrow_if_short(self, job: OpenRequest, plan: Plan) -> None:
        """Ask for missing ceiling units at once, while the total is on its way."""
        if job.customer.ceiling_units < job.request.units and self._can_borrow(job, plan):
            self._ask_peers(job, plan, INITIAL_PEERS_ASKED)

    def _loan_expected(self, job: OpenRequest) -> bool:
        """Whether questions to other gateways for its customer are open."""
        return self._questions.count_pending(job.request.customer, self._now) > 0

    def _ask_peers(self, job: OpenRequest, plan: Plan, gateways: int) -> None:
        request, customer = job.request, job.customer
        capacity = customer.ceiling_capacity * self._ceiling_part
        wanted = max(request.units - customer.ceiling_units, (capacity - customer.ceiling_units) / gateways)
        ask = LoanRequest(
            request.customer, 0, wanted, request.plan, request.entry_points, request.first_entry
        )
        for _ in range(min(gateways, MAX_PEERS_ASKED - job.peers_asked)):
            question = self._questions.request(ask, self._settings.fleet_size, self._now)
            if question is not None:
                job.peers_asked += 1
                self._actions.append(question)

    def _on_peer_message(self, event: PeerMessage) -> None:
        """Handle a question for ceiling units, or the answer to one; any other message is dropped."""
        message = decode(event.data)
        if isinstance(message, LoanRequest):
            self._lend(message, event.sender)
        elif isinstance(message, LoanReply):
            units = self._questions.accept_reply(message, event.sender, self._now)
            customer = self._customers.get(message.customer)
            if units is not None and customer is not None:
                self._refill_ceiling(customer)
                customer.ceiling_units += units
                self._resume_waiting(customer)
                # Units that no request waits for are saved up within this gateway's part.
                self._refill_ceiling(customer)

    def _lend(self, ask: LoanRequest, sender: int) -> None:
        """Lend ceiling units to the sender: units subtracted here count for it.

        Nothing is lent to or by a gateway that has no part of the customer's ceiling.
        """
        fleet = self._settings.fleet_size
        if not self._settings.limits.peers:  # a reload may have disabled messages while one was on its way
            return
        valid = (
            ask.plan < len(self._settings.plans)
            and 1 < ask.entry_points <= fleet
            and sender != self._settings.index
        )
        if not valid or not all(
            is_entry_point(n, ask.first_entry, ask.entry_points, fleet)
            for n in (sender, self._settings.index)
        ):
            return
        plan = self._settings.plans[ask.plan]
        customer = self._customers.get(ask.customer)
        if customer is None and plan.ceiling_rate > 0:
            customer = self._get_customer(ask.customer, plan, ask.entry_points)
        units = 0.0
        if customer is not None and customer.ceiling_refill_rate > 0 and not customer.waiting:
            self._refill_ceiling(customer)
            kept_share = 0.5 if self._now - customer.last_request_at < BUSY_CUSTOMER_TIME else 0.0
            units = max(0.0, min(ask.units, customer.ceiling_units * (1.0 - kept_share)))
            customer.ceiling_units -= units
        self._actions.append(Tell(sender, encode(LoanReply(ask.customer, ask.loan_id, units))))

    def _resume_waiting(self, customer: Customer) -> None:
        """Resume waiting requests in order: each is sent, asks once more, or is refused if none is left."""
        while customer.waiting:
            job = customer.waiting[0]
            self._current_request = job.request.id
            plan = self._settings.plans[job.request.plan]
            if self._within_ceiling(job, plan):
                customer.waiting.pop(0)
                self._start_attempt(job)
                continue
            if not self._loan_expected(job):
                self._ask_peers(job, plan, 1)
            if self._loan_expected(job):
                return
            self._finish(job, Cause.CEILING)

    # --- choose -----------------------------------------------------------------------------------------

    def _refusal_priority(self, job: OpenRequest, plan: Plan, likely_over_quota: bool) -> float:
        """Refusal priority when room is short: 1 beyond the quota, else higher for less worth per work."""
        value = job.cls.worth * plan.price / (self._class_latency[job.request.cls] or self._max_aim)
        self._mean_value += SMOOTHING * (value - self._mean_value)
        return 1.0 if likely_over_quota else max(0.0, 1.0 - value / self._mean_value)

    def _has_room(self, priority: float = 0.0) -> bool:
        """Whether fewer attempts are in flight than all servers' limits together allow.

        Where the limits come to a fraction of an attempt for each server, whole attempts of their sum may be
        in flight, and a fraction holds for the mean over time: the limit earns credit, and attempts in flight
        spend it. So all gateways together keep the limit, and a random burst at one of them is not refused.
        """
        if self._shared_limit is not None:
            if self._in_flight + 1 <= self._total_limit() * (1.0 - LIMIT_RESERVE * priority):
                return True
            self._accrue_credit()
            spent = self._in_flight * (max(self._class_latency) or TOTAL_WAIT_SHARE * self._max_aim)
            return self._credit > spent + CREDIT_RESERVE * priority * self._max_aim
        occupied, limit = self._room_sums
        if len(self._ready) <= SAMPLING_THRESHOLD or self._now - self._room_sums_at >= CACHE_TIME:
            # Attempts beyond one server's limit, perhaps all of them abandoned, take no room at the other
            # servers.
            oldest = self._now - int(ABANDONED_EXPIRY_AIMS * self._max_aim)
            occupied = limit = 0.0
            # Written inline: this and the choice are most of the cost of a request.
            for server in self._ready:
                server_limit, count = (
                    server.limit.max_in_flight,
                    server.occupancy(oldest) if server.abandoned else len(server.in_flight),
                )
                occupied += count if count < server_limit else server_limit
                limit += server_limit
            self._room_sums, self._room_sums_at = (occupied, limit), self._now
        return limit > 0 and occupied < max(1.0, limit * (1.0 - LIMIT_RESERVE * priority))

    def _total_limit(self) -> float:
        """Attempts this gateway may have in flight in total, if all servers share one limit; otherwise 0."""
        return self._shared_limit.max_in_flight * len(self._ready) if self._shared_limit is not None else 0.0

    def _accrue_credit(self) -> None:
        """Bring the credit up to now."""
        if self._shared_limit is not None:
            gain = self._total_limit() - self._in_flight
            self._credit = min(self._max_aim, self._credit + gain * (self._now - self._credit_updated_at))
        self._credit_updated_at = self._now

    def _choose_server(self, job: OpenRequest, avoid: str | None) -> Server | None:
        """The server with the least expected wait, among those that every rule allows for this attempt."""
        if not self._has_room():
            return None
        oldest = self._now - int(ABANDONED_EXPIRY_AIMS * self._max_aim)
        ejected, separate_limits = self._ejected_servers(), self._shared_limit is None
        cold_since, idle_since = self._now - self._settings.safety.cold_span, self._now - IDLE_CONNECTION_TIME
        best, least_cost, new_connection_factor = (
            None,
            0.0,
            min(MAX_HANDSHAKE_PENALTY, 1.0 + HANDSHAKE_PRICE_FACTOR * self._settings.handshake_price),
        )
        # The expected wait is computed inline: this loop is most of what a request costs.
        now, mean_load, zone, weighted = (
            self._now,
            self._mean_load,
            self._settings.zone,
            self._settings.weighted,
        )
        draw, exp, log, power = self._rng.random, math.exp, math.log, math.pow
        for server in self._candidates():
            if server is None:
                if best is not None:
                    break  # one of those drawn at random is suitable
                continue
            member = server.member
            if (
                separate_limits
                and (server.occupancy(oldest) if server.abandoned else len(server.in_flight))
                >= server.limit.max_in_flight
            ):
                continue
            if job.possibly_ran and not self._may_repeat_on(job, server):
                continue
            if server.started_at > cold_since and not self._cold_server_has_room(server):
                continue
            # Expected time to an answer, in usual answer times, as far as it is known. The less is known of a
            # server's load, the more the choice is random, in proportion to the latency of its kind: gateways
            # that know as little as each other must not all pick the same server.
            load_weight, samples, name = (
                exp((server.load_updated_at - now) / LOAD_STALE_TIME),
                server.samples,
                member.server,
            )
            own_weight = samples / (samples + LATENCY_PRIOR_SAMPLES)
            latency = server.relative_latency * own_weight + server.kind.relative_latency * (1.0 - own_weight)
            # 5% either way, and an exponentially distributed random factor.
            random_factor = (0.95 + TIE_RANGE * draw()) * power(-log(1.0 - draw()), (1.0 - load_weight) / 2)
            load = len(server.in_flight) + (server.load * load_weight + mean_load * (1.0 - load_weight))
            if weighted:
                load /= max(0.01, member.weight)
            cost = latency * (1.0 + ERROR_WEIGHT * server.error_rate) * (1.0 + load) * random_factor
            if name in ejected:
                if server.in_flight or self._now < self._earliest_trial(job, server):
                    continue
                if self._shared_limit is None:
                    cost = 0.0  # its trial is due; with hundreds of gateways, some try it without this
            if member.zone != zone:
                cost *= OTHER_ZONE_FACTOR
            if server.started_at <= cold_since and (
                not server.idle_connections or server.idle_updated_at < idle_since
            ):
                # Not for a cold server: no gateway is connected to it, and its rate is limited already.
                cost *= new_connection_factor
            if name == avoid:
                cost = (1.0 + cost) * SAME_SERVER_PENALTY
            if best is None or cost < least_cost:
                best, least_cost = server, cost
        return best

    def _candidates(self) -> Iterable[Server | None]:
        """All servers; of many, some drawn at random, then None, then all in case none of these will do."""
        subset = self._subset
        if len(subset) <= SAMPLING_THRESHOLD:
            return subset
        draw = self._rng.random
        return chain([subset[int(draw() * len(subset))] for _ in range(SAMPLE_SIZE)], (None,), subset)

    def _may_repeat_on(self, job: OpenRequest, server: Server) -> bool:
        """Whether the request may be sent to this server after its earlier attempts (rule 2).

        Once an attempt may have run, a keyed request stays in its group and within the time for which servers
        remember its key; one that must not run twice is not repeated.
        """
        for earlier, sent in job.possibly_ran:
            if job.cls.effect is Effect.ONCE:
                return False
            if job.cls.effect is Effect.KEYED:
                # It may only be written when a connection has been opened, and has to arrive in that time.
                if (
                    self._now - sent
                    >= job.cls.key_memory - self._settings.tick - self._settings.limits.connect_timeout
                ):
                    return False
                if job.cls.group is Group.ZONE and earlier.zone != server.member.zone:
                    return False
                if job.cls.group is Group.CELL and earlier.cell != server.member.cell:
                    return False
        return True

    def _ejected_servers(self) -> dict[str, None]:
        """The worst of the servers that are ejected, or silent for so long that they are about to be."""
        if len(self._subset) > SAMPLING_THRESHOLD and self._now - self._ejected_at < CACHE_TIME:
            return self._ejected
        since = self._now - SILENCE_ANSWER_TIMES * (max(self._class_latency) or SECOND / 10)
        suspects = [
            s
            for s in self._subset
            if s.ejected
            or (s.in_flight and s.answered_at < since and next(iter(s.in_flight.values())) < since)
        ]
        self._ejected, self._ejected_at = {}, self._now
        if not suspects:
            return self._ejected
        suspects.sort(key=lambda s: (-s.error_rate, s.answered_at))
        # A refused connection proves a server unreachable, so the maximum share does not apply to such
        # servers.
        unreachable = sum(s.error_rate >= 1.0 for s in suspects)
        self._ejected = {
            s.member.server: None
            for s in suspects[: max(unreachable, int(MAX_EJECTED_SHARE * len(self._subset)))]
        }
        return self._ejected

    @staticmethod
    def _earliest_trial(job: OpenRequest, server: Server) -> int:
        """When a request may try an ejected server.

        One that must not run twice tries at once only a server that refused connections, as nothing is lost
        where it still does; any other server only after requests that may be repeated had the time to try it
        first.
        """
        harmless = job.cls.effect is not Effect.ONCE or server.connect_refused
        return server.next_trial_at if harmless else server.next_trial_at + AVERAGING_TIME

    def _ejection_time(self) -> int:
        answer_times = EJECTION_ANSWER_TIMES * (1.0 if self._shared_limit is None else len(self._ready))
        return int(min(AVERAGING_TIME, answer_times * (max(self._class_latency) or SECOND / 10)))

    def _cold_server_has_room(self, server: Server) -> bool:
        """Whether a cold server may be sent another attempt (rule 4).

        A server that has just started gets this gateway's share of what it can certainly take. That is
        derived from the answers of warm servers of its kind, or of any kind where there is none.
        """
        safety = self._settings.safety
        started_at = server.started_at
        if not self._is_cold(server):
            return True
        age = max(0, self._now - started_at) / max(1, safety.cold_span)
        capacity_share = safety.cold_from + (1 - safety.cold_from) * age
        # Counted once in a while: for each cold server of each choice, it would be quadratic.
        if self._now - self._warm_counted_at > LOAD_STALE_TIME:
            kinds, self._warm_counted_at = (
                [s.member.kind for s in self._ready if not self._is_cold(s)],
                self._now,
            )
            self._warm_counts = {kind: kinds.count(kind) for kind in self._kinds}
        warm_servers, answer_rate = (
            self._warm_counts.get(server.member.kind, 0),
            server.kind.answer_rate_at(self._now),
        )
        if not warm_servers:
            warm_servers, answer_rate = (
                sum(self._warm_counts.values()),
                sum(k.answer_rate_at(self._now) for k in self._kinds.values()),
            )
        tokens_per_second = (
            COLD_MARGIN * safety.fall_multiple * capacity_share * answer_rate / max(1, warm_servers)
        )
        server.cold_tokens = min(
            1.0, server.cold_tokens + tokens_per_second * (self._now - server.cold_refilled_at) / SECOND
        )
        server.cold_refilled_at = self._now
        return server.cold_tokens >= 1.0

    def _is_cold(self, server: Server) -> bool:
        started_at = server.started_at
        return started_at > 0 and self._now - started_at < self._settings.safety.cold_span

    # --- send -------------------------------------------------------------------------------------------

    def _start_attempt(self, job: OpenRequest, avoid: str | None = None) -> None:
        """Start the next attempt, or end the request where none is possible."""
        job.awaiting_total = False
        until_aim = job.aim_at - self._now - self._settings.tick
        if (
            job.attempts - job.unsent_attempts >= self._settings.limits.max_attempts
            or until_aim <= self._settings.tick
        ):
            self._finish(job, Cause.ATTEMPTS if job.attempts else Cause.NO_TIME)
            return
        server = self._choose_server(job, avoid)
        if server is None:
            self._finish(job, Cause.ROOM)
            return
        self._send_to(job, server)

    def _send_to(self, job: OpenRequest, server: Server) -> None:
        time_left, until_aim = job.deadline - self._now, job.aim_at - self._now - self._settings.tick
        timeout = time_left if job.cls.late_worth > 0 else min(time_left, until_aim)
        attempts_used, max_attempts = job.attempts - job.unsent_attempts, self._settings.limits.max_attempts
        repeatable = job.cls.effect is not Effect.ONCE and attempts_used + 1 < max_attempts
        # A further attempt gets the time that remains.
        if repeatable and not job.possibly_ran and not job.in_flight:
            if self._settings.limits.may_cancel:
                delay = max(int(until_aim * FIRST_ATTEMPT_SHARE), self._silence_time(job))
                self._set_timer(delay, job.request.id, job.attempts)
            elif job.attempts == 0:
                timeout = min(timeout, max(self._settings.tick, int(until_aim * FIRST_ATTEMPT_SHARE)))
        if job.attempts == 0 and not job.request.sent:
            job.customer.ceiling_units -= job.request.units
        job.customer.open_requests += not job.in_flight
        self._actions.append(Send(job.request.id, server.member.server, timeout))
        self._accrue_credit()
        self._in_flight += 1
        server.in_flight[(job.request.id, job.attempts)] = self._now
        if server.ejected:
            server.next_trial_at = self._now + self._ejection_time()
        server.idle_connections = (
            max(0, server.idle_connections - 1)
            if self._now - server.idle_updated_at < IDLE_CONNECTION_TIME
            else 0
        )
        server.cold_tokens -= 1.0
        job.in_flight[job.attempts] = (server, self._now)
        job.attempts += 1

    def _silence_time(self, job: OpenRequest) -> int:
        """Time without an answer that counts as silence; less may only reflect a client's short deadline."""
        return int(SILENCE_ANSWER_TIMES * self._class_latency[job.request.cls])

    # --- outcome ----------------------------------------------------------------------------------------

    def _on_outcome(self, event: Outcome) -> None:
        self._current_request = event.request
        server = self._servers.get(event.server)
        job = self._open_requests.get(event.request)
        self._accrue_credit()
        self._in_flight = max(0, self._in_flight - 1)
        if server is not None:
            server.in_flight.pop((event.request, event.attempt), None)
            self._adapt_limit(server, event, job)
            self._update_statistics(server, event, job)
        if job is None:
            return
        attempt = job.in_flight.pop(event.attempt, None)
        if event.result is Result.NOT_SENT and job.unsent_attempts < self._settings.limits.max_attempts:
            # Its server may be draining; limited, as this gateway may be unable to send at all.
            job.unsent_attempts += 1
        if event.final or not job.in_flight:  # a second copy may still be in flight, the request is not
            job.customer.open_requests = max(0, job.customer.open_requests - 1)
        if event.final:
            if event.result is Result.OK and self._settings.units_settle and event.true_units is not None:
                units = event.true_units - job.request.units
                job.customer.debt = max(0.0, job.customer.debt + units)
                self._correct_count(job, units)
            elif job.unsent_attempts == job.attempts:  # the client disconnected before a byte was sent
                self._correct_count(job, -job.request.units)
            del self._open_requests[event.request]
            return
        if attempt is not None and not event.result.never_ran:
            job.possibly_ran.append((attempt[0].member, attempt[1]))
        if job.in_flight:
            return
        if event.result.never_ran or (job.cls.effect is not Effect.ONCE and self._retry_tokens >= 1):
            if not event.result.never_ran:
                self._retry_tokens -= 1
            self._start_attempt(job, event.server)
        else:
            self._finish(job, Cause.ATTEMPTS)

    def _on_expired(self, event: Expired) -> None:
        """The client disconnected. Attempts in flight run on; units counted but never sent are refunded."""
        job = self._open_requests.pop(event.request, None)
        if job is not None and job in job.customer.waiting:
            job.customer.waiting.remove(job)
        if job is not None and job.attempts == 0:
            self._correct_count(job, -job.request.units)
        elif job is not None and job.in_flight:
            job.customer.open_requests = max(0, job.customer.open_requests - 1)

    def _adapt_limit(self, server: Server, event: Outcome, job: OpenRequest | None) -> None:
        """Overload control: limit the attempts at a server so that its answers meet their aims.

        The rest is refused. This prevents servers from being overloaded until they only work on what no
        client waits for. Abandoned attempts still wait at the server, so they count until the server has
        answered an attempt sent later.
        """
        sent, limit = self._now - event.elapsed, server.limit
        # A limit that is not reached is not raised; one shared by all servers is not lowered either.
        if self._shared_limit is not None:
            limit_in_use = (
                self._in_flight + 1 > max(1.0, self._total_limit() / 2) or self._credit < self._max_aim / 2
            )
        else:
            limit_in_use = len(server.in_flight) + 1 >= limit.max_in_flight / 2
        late = event.result is Result.FULL
        if event.result in (Result.TIMEOUT, Result.CANCELLED):
            oldest = self._now - int(ABANDONED_EXPIRY_AIMS * self._max_aim)
            server.abandoned = [sent_at for sent_at in server.abandoned if sent_at > oldest] + [sent]
            late = job is None or event.elapsed > LATE_ANSWER_SHARE * job.cls.aim
        elif event.result is Result.OK:
            server.abandoned = [sent_at for sent_at in server.abandoned if sent_at > sent]
            late = job is not None and event.elapsed > LATE_ANSWER_SHARE * job.cls.aim
            if not late and limit_in_use:
                limit.max_in_flight += (
                    LIMIT_INCREASE / self._settings.fleet_size / max(1.0, limit.max_in_flight)
                )
        if late and sent >= limit.lowered_at and (limit_in_use or self._shared_limit is None):
            limit.max_in_flight = max(1.0 / self._settings.fleet_size, limit.max_in_flight * LIMIT_DECREASE)
            limit.lowered_at = self._now

    def _update_statistics(self, server: Server, event: Outcome, job: OpenRequest | None) -> None:
        """Update the server's latency, error rate and load."""
        if event.load:
            fields = dict(zip(self._settings.report_fields, event.load, strict=False))
            if "inflight" in fields:
                server.load = max(0.0, fields["inflight"] - len(server.in_flight))
            elif "util" in fields:
                utilization = min(0.8, max(0.0, fields["util"]))
                server.load = utilization / (1 - utilization)
            elif "qps" in fields:
                # Arrivals per second times the time that each stays is the number present (Little's law).
                time_in_server = server.relative_latency * self._mean_latency / SECOND
                server.load = max(0.0, fields["qps"] * time_in_server - len(server.in_flight))
            if not fields.keys().isdisjoint(LOAD_FIELDS):
                server.load_updated_at = self._now
                self._mean_load += SMOOTHING * (server.load - self._mean_load)
        refused_before = server.connect_refused
        server.connect_refused = event.result is Result.CONNECT_FAILED or (
            server.connect_refused and event.result in (Result.NOT_SENT, Result.TIMEOUT, Result.CANCELLED)
        )
        if event.result in (Result.OK, Result.ERROR, Result.FULL):
            server.answered_at = self._now
            server.idle_connections, server.idle_updated_at = server.idle_connections + 1, self._now
        usual = self._class_latency[job.request.cls] or float(event.elapsed) if job is not None else 0.0
        abandoned = event.result in (Result.TIMEOUT, Result.CANCELLED)
        if usual and (
            event.result is Result.OK or (abandoned and event.elapsed > server.relative_latency * usual)
        ):
            # An abandoned attempt would have taken longer still: a kind that is too slow for its load must
            # show it.
            server.record_latency(event.elapsed / usual, event.result is Result.OK, self._now)
        if event.result is Result.OK:
            # A refused connection had proved it unreachable, and now it is up.
            server.error_rate = 0.0 if refused_before else server.error_rate * (1 - SMOOTHING)
            server.ejected = server.ejected and server.error_rate > EJECT_ERROR_RATE
            self._mean_latency += SLOW_SMOOTHING * (event.elapsed - self._mean_latency)
            if job is not None:
                self._class_latency[job.request.cls] = usual + SLOW_SMOOTHING * (event.elapsed - usual)
        elif event.result in (Result.ERROR, Result.RESET, Result.CONNECT_FAILED):
            server.error_rate += (1 - server.error_rate) * (
                1.0 if event.result is Result.CONNECT_FAILED else SMOOTHING
            )
            if server.error_rate > EJECT_ERROR_RATE:
                server.eject(self._now, self._ejection_time())
        elif event.result is Result.TIMEOUT:
            silent = job is None or event.elapsed >= self._silence_time(job)
            if silent and server.is_silent(self._now, self._now - event.elapsed):
                server.eject(self._now, self._ejection_time())
        elif event.result is Result.FULL:
            server.load, server.load_updated_at = server.load + 4, self._now

    def _on_timer(self, event: Timer) -> None:
        if event.token == WATCH_TOKEN:
            self._actions.append(Watch(True))
            return
        request, attempt = self._timers.pop(event.token, (-1, None))
        job = self._open_requests.get(request)
        if job is None:
            return
        self._current_request = request
        if attempt == CEILING_WAIT_TIMER:
            if job in job.customer.waiting:
                self._refill_ceiling(job.customer)
                job.customer.waiting.remove(job)
                if self._within_ceiling(job, self._settings.plans[job.request.plan]):
                    self._start_attempt(job)
                else:
                    self._finish(job, Cause.CEILING)
                self._resume_waiting(job.customer)
            return
        if attempt is None:
            # Nothing to do for a request that has its total: its attempt has only just begun.
            if job.awaiting_total:
                self._decide_locally(job, self._settings.plans[job.request.plan])
            return
        server, sent = job.in_flight.get(attempt, (None, 0))
        # Silence, not slowness: waiting longer for a server that answers others is cheaper than a repeat.
        if server is None or self._retry_tokens < 1 or self._shared_limit is not None:
            return
        if server.is_silent(self._now, sent):
            server.eject(self._now, self._ejection_time())
            if self._settings.limits.second_copies and job.cls.effect is Effect.REPEATABLE:
                # It may only be slow, and the attempt runs on there in any case: the first answer counts.
                second_server = self._choose_server(job, server.member.server)
                if second_server is not None:
                    self._retry_tokens -= 1
                    self._send_to(job, second_server)
            elif self._settings.limits.may_cancel:
                self._actions.append(Cancel(job.request.id, attempt))

    def _set_timer(self, delay: int, request: int, attempt: int | None) -> None:
        self._last_timer_token = (self._last_timer_token + 1) & 0xFFFFFFFF
        self._timers[self._last_timer_token] = (request, attempt)
        self._actions.append(SetTimer(delay, self._last_timer_token))

    # --- answer -----------------------------------------------------------------------------------------

    def _finish(self, job: OpenRequest, cause: Cause) -> None:
        """The one final answer where no attempt gave it (rules 1 and 2).

        It is a refusal only where a repeat by the client does no harm, otherwise a failure.
        """
        for attempt in job.in_flight:
            if self._settings.limits.may_cancel:
                self._actions.append(Cancel(job.request.id, attempt))
        harmless = not job.in_flight and (not job.possibly_ran or job.cls.effect is Effect.REPEATABLE)
        if not job.attempts:
            if not job.awaiting_total:
                job.customer.debt = max(0.0, job.customer.debt - job.request.units)
            self._correct_count(job, -job.request.units)
        if harmless:
            self._actions.append(Refuse(job.request.id, self._retry_after(job), cause))
        else:
            self._actions.append(Fail(job.request.id, cause))
        if job in job.customer.waiting:
            job.customer.waiting.remove(job)
        del self._open_requests[job.request.id]

    def _retry_after(self, job: OpenRequest) -> int:
        """Time to refill about one unit, or until these units fit, but never past the end of the window."""
        plan = self._settings.plans[job.request.plan]
        if plan.rate <= 0:
            return min(self._settings.limits.max_retry_after, job.cls.aim)
        _, length = window(job.request.customer, plan, self._now + self._clock_shift)
        missing = max(1.0, job.customer.debt + job.request.units - plan.burst)
        return min(length, self._settings.limits.max_retry_after, int(missing / plan.rate * SECOND))

    # --- the list of servers ----------------------------------------------------------------------------

    def _on_members(self, event: Members) -> None:
        if event.kind is ListKind.FAILED:
            # Called again well within the time in which the list must be asked for; not at once, since the
            # calls of all gateways may have failed.
            delay = self._settings.safety.ask_within // LIST_RETRY_DIVISOR
            self._actions.append(SetTimer(self._rng.randint(delay, 2 * delay), WATCH_TOKEN))
            return
        if event.kind is ListKind.CACHED and self._settings.ask_for_list:
            self._actions.append(Watch(True))
        listed = {member.server: None for member in event.members}
        if not self._servers and self._settings.fleet_size > INITIAL_LIMIT:
            # One gateway's part of a server's limit is a fraction of an attempt, and it sees little of each
            # server. Separate limits would let every gateway have one attempt in flight at every server.
            self._shared_limit = AttemptLimit(INITIAL_LIMIT / self._settings.fleet_size, self._now)
            if self._settings.fleet_size > len(listed):
                self._sparse_customers, self._call_share = True, 0.5
        if event.kind is not ListKind.CHANGES:
            for name in [n for n in self._servers if n not in listed]:
                del self._servers[name]
        for member in event.members:
            if member.state is State.GONE:
                self._servers.pop(member.server, None)
            elif member.server in self._servers:
                server = self._servers[member.server]
                if member.started_at != server.member.started_at:
                    server.reset_after_restart(member, self._now, self._clock_shift)
                    server.cold_tokens, server.cold_refilled_at = self._rng.random(), self._now
                server.member = member
            else:
                limit = self._shared_limit or AttemptLimit(
                    INITIAL_LIMIT / self._settings.fleet_size, self._now
                )
                kind = self._kinds.setdefault(member.kind, ServerKind(self._now))
                server = self._servers[member.server] = Server(
                    member, self._now, limit, kind, self._clock_shift
                )
                # Random, not zero: of hundreds of gateways, each with a small share, some send at once.
                server.cold_tokens = self._rng.random()
            if member.state is not State.GONE and event.kind is not ListKind.CACHED:
                self._servers[member.server].listed_at = self._now
        self._update_ready()

    def _update_ready(self) -> None:
        """Rebuild the lists of ready servers. Of a zone in partial use, it keeps to the same servers."""
        self._accrue_credit()
        parts, name_format = self._zone_parts, b"%d/%%b" % self._settings.index
        self._ready = [
            s
            for s in self._servers.values()
            if s.member.state is State.READY
            and (
                not parts
                or crc32(name_format % s.member.server.encode()) < parts.get(s.member.zone, 1.0) * 2**32
            )
        ]
        # In large fleets each gateway keeps to a few servers, by its index, and so uses each often enough.
        self._subset, self._warm_counted_at = self._ready, self._now - MAX_NAME_LIFETIME
        self._room_sums_at = self._ejected_at = self._now - CACHE_TIME
        if self._settings.fleet_size > len(self._ready) > SUBSET_SIZE:
            order = sorted(self._ready, key=lambda s: s.member.server)
            first = self._settings.index * SUBSET_SIZE % len(order)
            self._subset = (order + order)[first : first + SUBSET_SIZE]
