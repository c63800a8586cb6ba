"""Simulation of load on engines as the deployments describe them, without input or output."""

import collections
import itertools
import math
import random

import attrs

from camphorpath.placement.ownership import Assignment
from camphorpath.placement.records import Placed, Refused, WaitingCall
from camphorpath.placement.scheduler import Scheduler

from .test_ownership import make_upstream

TICK_S = 0.005
EXPIRE_TICKS = 10
BASELINE_ENGINE_COUNT = 9
PREFILL_TOKENS_PER_S = 51100
DECODE_STEP_S = 0.005
DECODE_STEP_GROWTH = 0.08
TOKENS_PER_EVENT = 3
MAX_EVENT_GAP_S = 0.25
MAX_RETRIES = 1
DRAIN_S = 12
# Rounds (of EXPIRE_TICKS ticks) between two heartbeats of a daemon, as in fleets of few daemons.
HEARTBEAT_INTERVAL_ROUNDS = 5
# Lent slots expire this long after the heartbeat that reported them.
LENDING_TIMEOUT_S = 1.0


@attrs.frozen
class CallClass:
    name: str
    rank: int
    rate_per_s: float
    prompt_tokens: float
    output_tokens: float
    objective_s: float
    timeout_s: float
    value: float
    customer: str = ''


CALL_CLASSES = (
    CallClass('draft', 0, 13, 3720, 120, 0.8, 12, 5.4),
    CallClass('answer', 1, 9.6, 2890, 51, 0.6, 6, 2.7),
    CallClass('note', 2, 19.2, 1110, 172, 0.5, 15, 0.28),
)
# Long prompts that consist mostly of a document, for engines with four slots.
LONG_PROMPT_CLASSES = (
    CallClass('draft', 0, 22.5, 13000, 120, 0.6, 8, 5.4),
    CallClass('answer', 1, 10.1, 7000, 52, 0.6, 5, 2.7),
    CallClass('note', 2, 36, 1300, 172, 0.4, 10, 0.24),
)
# Long summaries, answers, and verdicts of three events, as in a deployment with short calls.
SHORT_CALL_CLASSES = (
    CallClass('draft', 0, 17, 6610, 165, 0.8, 12, 11),
    CallClass('answer', 1, 48, 628, 126, 0.3, 12, 1.7),
    CallClass('note', 2, 31, 300, 9, 0.4, 3, 0.46),
)
LATE_VALUE_SHARE = 0.3


@attrs.define(eq=False)
class Job:
    call_class: CallClass
    first_sent_at: float
    prompt_tokens: float
    output_tokens: float
    # The software version that began the stream that the job takes up.
    required_version: str | None = None
    has_begun: bool = False
    attempt_count: int = 0
    pending_prompt_tokens: float = 0
    generated_tokens: float = 0
    first_byte_at: float | None = None
    last_event_at: float = 0
    longest_gap_s: float = 0
    is_done: bool = False

    def is_in_time(self):
        if not self.is_done or self.longest_gap_s > MAX_EVENT_GAP_S:
            return False
        return self.first_byte_at - self.first_sent_at <= self.call_class.objective_s


@attrs.define(eq=False)
class Engine:
    """An engine that prefills one prompt at a time and stalls its streams meanwhile.

    Calls beyond its slots wait in order of arrival.
    """

    slowdown: float
    slots: int
    jobs: list = attrs.field(factory=list)
    # Calls beyond the slots: the most at once, and the seconds that they waited together.
    longest_queue: int = 0
    queued_s: float = 0

    def advance(self, now):
        queued = max(len(self.jobs) - self.slots, 0)
        self.longest_queue = max(self.longest_queue, queued)
        self.queued_s += queued * TICK_S
        served = self.jobs[: self.slots]
        remaining_tokens = PREFILL_TOKENS_PER_S / self.slowdown * TICK_S
        for job in served:
            read = min(job.pending_prompt_tokens, remaining_tokens)
            job.pending_prompt_tokens -= read
            remaining_tokens -= read
            if job.first_byte_at is None and not job.pending_prompt_tokens and remaining_tokens:
                job.first_byte_at = job.last_event_at = now
        if not remaining_tokens:
            return
        step_s = DECODE_STEP_S * self.slowdown * (1 + DECODE_STEP_GROWTH * len(served))
        for job in served:
            if job.first_byte_at is None:
                continue
            events = job.generated_tokens // TOKENS_PER_EVENT
            job.generated_tokens += TICK_S / step_s
            if job.generated_tokens // TOKENS_PER_EVENT > events:
                job.longest_gap_s = max(job.longest_gap_s, now - job.last_event_at)
                job.last_event_at = now


class FirstComeScheduler:
    """Baseline: first come, first served, at the engine with the most free slots."""

    def __init__(self, slots):
        self.free = dict(slots)
        self.queue = collections.deque()

    def submit(self, call, now):
        self.queue.append(call)
        self.place()

    def record_first_byte(self, upstream_id, call, now):
        """Do nothing; the baseline does not measure speeds."""

    def release(self, upstream_id, call, now):
        self.free[upstream_id] += 1
        self.place()

    def expire(self, now):
        for call in [queued for queued in self.queue if now > queued.wait_until]:
            self.queue.remove(call)
            call.on_decision(Refused('late', 0.3 * (call.deadline - now), 0, 0))

    def place(self):
        while self.queue and max(self.free.values()) > 0:
            upstream_id = max(self.free, key=self.free.get)
            self.free[upstream_id] -= 1
            call = self.queue.popleft()
            call.on_decision(Placed(make_upstream(int(upstream_id[2:]))))


class Fleet:
    """Daemons that own engines and lend slots by heartbeat; calls go to a random daemon."""

    heartbeat_interval_rounds = HEARTBEAT_INTERVAL_ROUNDS
    lending_timeout_s = LENDING_TIMEOUT_S

    def __init__(self, slots, *, is_lending=True, engines_per_daemon=1):
        upstreams = list_upstreams(slots)
        names = [f'd{number}' for number in range(len(upstreams) // engines_per_daemon)]
        owners = {
            upstream.upstream_id: names[number % len(names)]
            for number, upstream in enumerate(upstreams)
        }
        assignment = Assignment({'r': tuple(names)}, owners)
        self.schedulers = [Scheduler(name=name, zone='a', regions={}) for name in names]
        for scheduler in self.schedulers:
            scheduler.set_upstreams(upstreams, assignment)
        self.generator = random.Random(len(names))
        self.scheduler_by_call = {}
        self.round_count = 0
        self.is_lending = is_lending

    def submit(self, call, now):
        scheduler = self.generator.choice(self.schedulers)
        self.scheduler_by_call[call.call_id] = scheduler
        scheduler.submit(call, now)

    def record_first_byte(self, upstream_id, call, now):
        self.scheduler_by_call[call.call_id].record_first_byte(upstream_id, call, now)

    def release(self, upstream_id, call, now):
        self.scheduler_by_call.pop(call.call_id).release(upstream_id, call, now)

    def expire(self, now):
        self.round_count += 1
        for number, scheduler in enumerate(self.schedulers):
            scheduler.expire(now)
            if self.is_lending and self.is_heartbeat_due(number):
                self.send_heartbeat(scheduler, now)

    def is_heartbeat_due(self, number):
        return not (self.round_count + number) % self.heartbeat_interval_rounds

    def send_heartbeat(self, sender, now):
        loads = sender.report_loads(len(self.schedulers) - 1, now)
        waiting = sender.count_waiting()
        for scheduler in self.schedulers:
            if scheduler is not sender:
                scheduler.apply_loads(
                    sender.name,
                    sender.name,
                    loads,
                    waiting,
                    lent_until=now + self.lending_timeout_s,
                )


@attrs.define
class Outcome:
    jobs: list
    engines: list = attrs.field(factory=list)

    def share_of(self, name, check=lambda job: job.is_done):
        found = [job for job in self.jobs if job.call_class.name == name]
        return sum(map(check, found)) / len(found)

    def share_served(self):
        return sum(job.is_done for job in self.jobs) / len(self.jobs)

    def value_share(self):
        earned = sum(
            job.call_class.value * (1 if job.is_in_time() else LATE_VALUE_SHARE)
            for job in self.jobs
            if job.is_done
        )
        return earned / sum(job.call_class.value for job in self.jobs)


def list_upstreams(slots):
    return [make_upstream(number, slots=slots[f'i-{number}']) for number in range(len(slots))]


def make_scheduler(slots):
    scheduler = Scheduler(name='me', zone='a', regions={})
    upstreams = list_upstreams(slots)
    owners = {upstream.upstream_id: 'me' for upstream in upstreams}
    scheduler.set_upstreams(upstreams, Assignment({}, owners))
    return scheduler


@attrs.define
class Simulation:
    """The engines, the running calls, and the arrivals by tick."""

    engines: dict[str, Engine]
    now: float = 0
    max_retries: int = MAX_RETRIES
    running: dict = attrs.field(factory=dict)
    arrivals_by_tick: dict = attrs.field(factory=lambda: collections.defaultdict(list))
    call_numbers: object = attrs.field(factory=itertools.count)

    def schedule_arrival(self, job, at):
        self.arrivals_by_tick[math.ceil(at / TICK_S) + 1].append(job)

    def make_call(self, job):
        """Return the next attempt of a job; a refused job is retried up to MAX_RETRIES times."""
        call_class = job.call_class
        call_id = f'c{next(self.call_numbers)}'
        job.attempt_count += 1

        def decide(decision):
            if isinstance(decision, Placed):
                job.has_begun = True
                job.pending_prompt_tokens = job.prompt_tokens
                upstream_id = decision.upstream.upstream_id
                self.engines[upstream_id].jobs.append(job)
                self.running[call_id] = call, upstream_id, job
            elif job.attempt_count <= self.max_retries:
                self.schedule_arrival(job, self.now + decision.retry_after_s)

        call = WaitingCall(
            call_id=call_id,
            service='llm',
            rank=(0, call_class.rank),
            arrived_at=self.now,
            objective_at=self.now + call_class.objective_s,
            wait_until=self.now + 2 * call_class.objective_s,
            deadline=job.first_sent_at + call_class.timeout_s,
            prompt_tokens=job.prompt_tokens,
            output_tokens=job.output_tokens,
            max_event_gap_s=MAX_EVENT_GAP_S,
            customer=call_class.customer,
            on_decision=decide,
            required_version=job.required_version,
        )
        return call

    def advance(self, scheduler, tick):
        self.now = tick * TICK_S
        for job in self.arrivals_by_tick.pop(tick, ()):
            scheduler.submit(self.make_call(job), self.now)
        for engine in self.engines.values():
            engine.advance(self.now)
        for call_id, (call, upstream_id, job) in list(self.running.items()):
            if job.first_byte_at == self.now:
                scheduler.record_first_byte(upstream_id, call, self.now)
            if job.first_byte_at is not None and job.generated_tokens >= job.output_tokens:
                job.is_done = True
                self.engines[upstream_id].jobs.remove(job)
                self.running.pop(call_id)
                scheduler.release(upstream_id, call, self.now)
        if not tick % EXPIRE_TICKS:
            scheduler.expire(self.now)


def simulate(
    scheduler_factory,
    *,
    seed,
    relative_load,
    slowdowns,
    slots=5,
    duration_s=10.0,
    call_classes=CALL_CLASSES,
    added_jobs=(),
    max_retries=MAX_RETRIES,
    engine_factory=Engine,
):
    """Simulate arrivals at `relative_load` times the baseline rate and return their outcome.

    The outcome contains the jobs `added_jobs`, too.
    """
    random.seed(seed)
    engines = {
        f'i-{number}': engine_factory(slowdown, slots) for number, slowdown in enumerate(slowdowns)
    }
    simulation = Simulation(engines, max_retries=max_retries)
    scheduler = scheduler_factory(dict.fromkeys(simulation.engines, slots))
    jobs = plan_jobs(
        random.Random(seed),
        call_classes,
        relative_load * len(slowdowns) / BASELINE_ENGINE_COUNT,
        duration_s,
    )
    jobs.extend(added_jobs)
    for job in jobs:
        simulation.schedule_arrival(job, job.first_sent_at)
    for tick in range(round((duration_s + DRAIN_S) / TICK_S)):
        simulation.advance(scheduler, tick)
    return Outcome(jobs, list(engines.values()))


def plan_jobs(generator, call_classes, relative_load, duration_s):
    jobs = []
    for call_class in call_classes:
        at = generator.expovariate(relative_load * call_class.rate_per_s)
        while at < duration_s:
            jobs.append(
                Job(
                    call_class,
                    at,
                    _draw_size(generator, call_class.prompt_tokens),
                    _draw_size(generator, call_class.output_tokens),
                )
            )
            at += generator.expovariate(relative_load * call_class.rate_per_s)
    return jobs


def _draw_size(generator, mean):
    """Return a random size from a long-tailed distribution with the given mean."""
    return min(mean * generator.lognormvariate(-0.5, 1), 10 * mean)
