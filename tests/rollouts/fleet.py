"""Daemons that decide on one order without a network, and what they send to each version."""

import random

import attrs

from camphorpath.placement.records import WaitingCall
from camphorpath.placement.slots import Slots
from camphorpath.rollouts.records import Action, Phase, RolloutBounds, RolloutOrder
from camphorpath.rollouts.registry import Rollouts

from ..placement.test_ownership import make_upstream as make_other_upstream

BOUNDS = RolloutBounds(canary_share=0.1, canary_allowance=50, rollback_timeout_s=5)
ORDER = RolloutOrder('llm', 'v2', revision=7, written_at=0, duration_s=12)
STEP_S = 0.1
# Steps between heartbeats.
HEARTBEAT_STEPS = 3
ROUTES = ('draft', 'draft', 'draft', 'note')


def make_group(**counts):
    """Return slots of upstreams, so many of each version; their ids begin with the version."""
    group = []
    for version, count in counts.items():
        for number in range(count):
            upstream = make_other_upstream(number)
            named = f'{version}-{number}'
            group.append(Slots(attrs.evolve(upstream, upstream_id=named, software_version=version)))
    return group


def make_rollouts(group, order=ORDER):
    rollouts = Rollouts(BOUNDS)
    rollouts.record_registered({'llm': group})
    rollouts.start(order, order.written_at)
    return rollouts


def make_call(number, required_version=None):
    times = {'arrived_at': 0, 'objective_at': 1, 'wait_until': 1, 'deadline': 9}
    size = {'prompt_tokens': 0, 'output_tokens': 0}
    fields = {'service': 'llm', 'rank': (0, 0), 'required_version': required_version}
    return WaitingCall(call_id=f'c{number}', on_decision=print, **times, **size, **fields)


def list_versions(rollouts, group, now, required_version=None, number=0):
    """Return the versions to which a call may be sent now."""
    allowed = rollouts.list_allowed(make_call(number, required_version), group, now)
    return {slots.upstream.software_version for slots in allowed}


@attrs.define
class Fleet:
    """Daemons with calls at a rate; `answer(upstream, route, now, random)` gives what they get.

    It returns whether an answer is bad, and its time relative to the default. Heartbeats arrive one
    interval late; the first live daemon writes phases.
    """

    answer: object
    daemon_count: int = 8
    rate: float = 60
    old_count: int = 10
    new_count: int = 4
    seed: int = 1
    now: float = 0
    # Instant and version of each request.
    sent: list = attrs.field(factory=list)
    bad_times: list = attrs.field(factory=list)
    # Phases as stored, and when.
    stored: dict = attrs.field(factory=dict)
    reason: str = ''
    # Changes of daemons by name: a function that is called at an instant.
    incidents: dict = attrs.field(factory=dict)
    daemons: dict = attrs.field(init=False)
    group: list = attrs.field(init=False)
    # Whether daemons share their counts at each step, as they do when bad answers come.
    shares_at_once: bool = False
    # Daemons that neither hear nor are heard.
    cut_off: set = attrs.field(factory=set)
    _random: random.Random = attrs.field(init=False)
    _mail: list = attrs.field(factory=list)
    # Engines differ by up to a factor of four within a version.
    _factors: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self._random = random.Random(self.seed)
        random.seed(self.seed)
        self.group = make_group(v1=self.old_count, v2=self.new_count)
        for slots in self.group:
            self._factors[slots.upstream.upstream_id] = self._random.uniform(1, 4)
        self.daemons = {f'd{n}': make_rollouts(self.group) for n in range(self.daemon_count)}

    def run(self):
        for step in range(130):
            self.now = step * STEP_S
            for at in [at for at in self.incidents if at <= self.now]:
                self.incidents.pop(at)(self)
            if step % HEARTBEAT_STEPS == 0 or self.shares_at_once:
                self._exchange()
            for _ in range(int(self.rate * STEP_S + self._random.random())):
                self._send()
            for name, rollouts in self.daemons.items():
                for advice in rollouts.update(self.now, self.daemon_count):
                    self._take(name, rollouts, advice)
        return self

    def restart(self, names):
        for name in names:
            self.daemons.pop(name)
            self.daemons[f'{name}+'] = make_rollouts(self.group)
            for phase in self.stored:
                self.daemons[f'{name}+'].apply_phase('llm', 7, phase, self.now)

    def count_sent(self, version, since=0.0):
        return sum(1 for at, sent in self.sent if sent == version and since <= at <= 12)

    def assert_bounded(self):
        """Check what a bad version may receive."""
        sent = self.count_sent('v2')
        assert sent <= 0.1 * (sent + self.count_sent('v1')) + 50
        if len(self.bad_times) >= 50:
            assert not self.count_sent('v2', self.bad_times[49] + BOUNDS.rollback_timeout_s)

    def _exchange(self):
        for name, tallies, phase in self._mail:
            for other, rollouts in self.daemons.items():
                if other != name and not {name, other} & self.cut_off:
                    rollouts.apply_tallies(name, tallies)
                    rollouts.apply_phase('llm', 7, phase, self.now)
        self._mail = [
            (name, rollouts.share_tallies(), rollouts.get('llm').phase)
            for name, rollouts in self.daemons.items()
        ]

    def _send(self):
        names = list(self.daemons)
        # The first ones take several times as many calls as the last ones.
        name = names[int(len(names) * self._random.random() ** 2)]
        rollouts = self.daemons[name]
        call = make_call(len(self.sent))
        allowed = rollouts.list_allowed(call, self.group, self.now)
        upstream = self._random.choice(allowed).upstream
        route = self._random.choice(ROUTES)
        rollouts.record_placement(upstream)
        rollouts.record_send(upstream)
        self.sent.append((self.now, upstream.software_version))
        is_bad, ratio = self.answer(upstream, route, self.now, self._random)
        ratio *= self._factors[upstream.upstream_id]
        rollouts.record_answer(upstream, route, is_bad, None if is_bad else ratio)
        if is_bad and upstream.software_version == 'v2':
            self.bad_times.append(self.now)

    def _take(self, name, rollouts, advice):
        phase = advice.action.phase
        if advice.action is Action.REVERT:
            self.reason = self.reason or advice.reason
        is_writer = name not in self.cut_off and name == next(
            other for other in self.daemons if other not in self.cut_off
        )
        if name in self.cut_off or not (is_writer or phase is Phase.REVERTED):
            return
        if self.stored.keys() & {Phase.COMPLETED, Phase.REVERTED}:
            return
        self.stored.setdefault(phase, self.now)
        rollouts.apply_phase('llm', 7, phase, self.now)
