import hypothesis
import pytest
from hypothesis import strategies

from camphorpath.placement.crashes import (
    AnswerProgress,
    Crash,
    Pattern,
    QuarantinedPattern,
    digest_call,
    digest_parts,
    join_digests,
)
from camphorpath.placement.quarantine import (
    ANSWER_RETENTION_S,
    CRASH_LIMIT,
    CRASH_RETENTION_S,
    MAX_CRASH_TRAITS,
    MAX_CRASHES,
    MAX_PATTERN_PARTS,
    PATTERN_RETENTION_S,
    PROBE_INTERVAL_S,
    PROBE_TIMEOUT_S,
    Quarantine,
)

CALL_DIGEST = digest_call(b'/x', b'key', b'body')
NO_PARTS = frozenset()


def make_parts(*names):
    return digest_parts('llm', names)


FIRST_PART = make_parts(b'first')
CRASHING_PART = make_parts(b'bad')
CRASHING_PROMPT = FIRST_PART | CRASHING_PART


def record_crashes_on(*upstreams, quarantine=None):
    quarantine = quarantine or Quarantine()
    for upstream in upstreams:
        quarantine.record_crash(Crash(CALL_DIGEST, upstream), 0, is_from_peer=False)
    return quarantine


def record_calls(*prompts, quarantine=None, first=0):
    """Record a crash of a new upstream by a different call for each prompt."""
    quarantine = quarantine or Quarantine()
    for number, parts in enumerate(prompts, start=first):
        crash = Crash(b'call-%d' % number, f'i-{number}', parts)
        quarantine.record_crash(crash, 0, is_from_peer=False)
    return quarantine


def test_call_that_crashes_several_upstreams_is_quarantined():
    """Guards against a repeated call that crashes one upstream after the other."""
    assert not record_crashes_on('i-1', 'i-2').is_quarantined(CALL_DIGEST, NO_PARTS)
    quarantine = record_crashes_on('i-1', 'i-2', 'i-3')
    assert quarantine.is_quarantined(CALL_DIGEST, NO_PARTS)
    assert not quarantine.is_quarantined(digest_call(b'/x', b'other', b'body'), NO_PARTS)
    quarantine.expire(CRASH_RETENTION_S + 1)
    assert quarantine.is_quarantined(CALL_DIGEST, NO_PARTS)
    quarantine.expire(PATTERN_RETENTION_S + 1)
    assert not quarantine.is_quarantined(CALL_DIGEST, NO_PARTS)
    assert quarantine.is_empty


def test_repeated_crash_report_of_an_upstream_counts_once():
    """Guards against quarantine because of a single upstream, reported by several daemons."""
    quarantine = record_crashes_on(*['i-1'] * CRASH_LIMIT)
    assert not quarantine.is_quarantined(CALL_DIGEST, NO_PARTS)


def test_success_clears_earlier_crashes():
    """Guards against quarantine of a sound call whose connections broke for other reasons."""
    quarantine = record_crashes_on('i-1', 'i-2')
    quarantine.record_success(CALL_DIGEST, 0)
    assert not record_crashes_on('i-3', quarantine=quarantine).is_quarantined(CALL_DIGEST, NO_PARTS)
    assert quarantine.drain_cleared() == [CALL_DIGEST]


def test_success_at_another_daemon_clears_crashes():
    """Guards against calls that only the daemon that served them last sends on."""
    quarantine = record_crashes_on('i-1', 'i-2', 'i-3')
    quarantine.apply_cleared(CALL_DIGEST, 0)
    assert not quarantine.is_quarantined(CALL_DIGEST, NO_PARTS)
    assert not quarantine.drain_cleared()


def test_crashes_are_announced_once_and_bounded():
    """Guards against daemons that announce each other's crashes endlessly, and against growth."""
    quarantine = record_crashes_on('i-1')
    quarantine.record_crash(Crash(CALL_DIGEST, 'i-2'), 0, is_from_peer=True)
    assert [crash.upstream for crash in quarantine.drain_crashes()] == ['i-1']
    assert not quarantine.drain_crashes()
    for number in range(MAX_CRASHES + CRASH_LIMIT):
        quarantine.record_crash(Crash(b'%d' % number, 'i-1'), 0, is_from_peer=True)
    assert quarantine.crash_count == MAX_CRASHES


def test_crashes_by_calls_with_many_parts_take_bounded_memory():
    """Guards against a daemon or a heartbeat that grows with the number of parts of prompts."""
    quarantine = Quarantine()
    for number in range(100):
        parts = make_parts(*[b'%d-%d' % (place, number % 3) for place in range(1000)])
        crash = Crash(b'call-%d' % number, f'i-{number}', parts | CRASHING_PART)
        quarantine.record_crash(crash, 0, is_from_peer=False)
        assert sum(len(known.traits) for known in quarantine._crashes) <= MAX_CRASH_TRAITS
    assert quarantine.crash_count >= CRASH_LIMIT
    for shared in quarantine.share_patterns(0):
        assert len(shared.pattern.parts) <= MAX_PATTERN_PARTS


def test_different_calls_with_a_crashing_part_are_quarantined():
    """Guards against different calls that crash upstreams by one part that they share."""
    prompts = [make_parts(b'first-%d' % number, b'bad') for number in range(CRASH_LIMIT)]
    quarantine = record_calls(*prompts[1:])
    assert not quarantine.is_quarantined(b'call-9', CRASHING_PART)
    record_calls(prompts[0], quarantine=quarantine, first=CRASH_LIMIT)
    assert quarantine.is_quarantined(b'call-9', CRASHING_PROMPT)
    assert not quarantine.is_quarantined(b'call-9', FIRST_PART)
    assert not quarantine.is_quarantined(b'call-9', prompts[0] - CRASHING_PART)


@pytest.mark.parametrize('answered_first', [True, False])
def test_sound_calls_that_share_a_part_with_crashing_ones_are_served(answered_first):
    """Guards against quarantine of the parts that all crashing calls share with sound ones."""
    quarantine = Quarantine()
    if answered_first:
        quarantine.record_answer(FIRST_PART, 0)
    record_calls(*[CRASHING_PROMPT] * CRASH_LIMIT, quarantine=quarantine)
    assert quarantine.is_quarantined(b'call-9', CRASHING_PROMPT)
    assert not quarantine.is_quarantined(b'call-9', FIRST_PART)
    quarantine.record_answer(FIRST_PART, 1)
    assert not quarantine.is_quarantined(b'call-9', FIRST_PART)
    assert quarantine.is_quarantined(b'call-9', make_parts(b'other', b'bad'))


def test_calls_lost_beside_a_crashing_one_are_not_quarantined():
    """Guards against quarantine of sound calls that ran at the upstreams that others crashed."""
    beside = make_parts(b'beside')
    quarantine = Quarantine()
    for number in range(2 * CRASH_LIMIT):
        for digest, parts in ((b'bad-%d', CRASHING_PROMPT), (b'sound-%d', beside | FIRST_PART)):
            crash = Crash(digest % number, f'i-{number}', parts)
            quarantine.record_crash(crash, 0, is_from_peer=False)
    assert quarantine.is_quarantined(b'call-9', CRASHING_PROMPT)
    assert not quarantine.is_quarantined(b'call-9', FIRST_PART)


def test_sound_calls_alike_but_for_the_crashing_part_are_served():
    """Guards against quarantine of sound calls with the content of crashing ones."""
    quarantine = Quarantine()
    quarantine.record_answer(FIRST_PART, 0)
    for number in range(2 * CRASH_LIMIT):
        for parts in (FIRST_PART, CRASHING_PROMPT):
            crash = Crash(CALL_DIGEST, f'i-{number}', parts)
            quarantine.record_crash(crash, 0, is_from_peer=False)
        quarantine.record_success(CALL_DIGEST, 0)
    assert quarantine.is_quarantined(CALL_DIGEST, CRASHING_PROMPT)
    assert not quarantine.is_quarantined(CALL_DIGEST, FIRST_PART)


def test_repeats_of_one_crashing_call_do_not_hide_the_part():
    """Guards against a quarantine of the first call only, which its caller and retries repeat."""
    quarantine = Quarantine()
    quarantine.record_answer(FIRST_PART, 0)
    for number in range(CRASH_LIMIT):
        crash = Crash(b'call-1', f'i-{number}', CRASHING_PROMPT)
        quarantine.record_crash(crash, 0, is_from_peer=True)
    assert quarantine.is_quarantined(b'call-1', CRASHING_PROMPT)
    assert not quarantine.is_quarantined(b'call-2', CRASHING_PROMPT)
    quarantine.record_crash(Crash(b'call-2', 'i-9', CRASHING_PROMPT), 0, is_from_peer=True)
    assert quarantine.is_quarantined(b'call-3', CRASHING_PROMPT)


def test_crash_of_all_upstreams_does_not_quarantine_common_parts():
    """Guards against refusing all calls after a power failure of the upstreams."""
    quarantine = Quarantine()
    quarantine.record_answer(FIRST_PART, 0)
    record_calls(*[FIRST_PART] * 4 * CRASH_LIMIT, quarantine=quarantine)
    assert not quarantine.is_quarantined(b'call-9', FIRST_PART)
    quarantine.expire(ANSWER_RETENTION_S)
    record_calls(*[FIRST_PART] * CRASH_LIMIT, quarantine=quarantine, first=100)
    assert quarantine.is_quarantined(b'call-9', FIRST_PART)


def test_answer_with_a_quarantined_part_clears_it_everywhere():
    """Guards against a sound part that stays in quarantine after it was answered."""
    quarantine = record_calls(*[CRASHING_PART] * CRASH_LIMIT)
    peer = record_calls(*[CRASHING_PART] * CRASH_LIMIT)
    quarantine.record_answer(CRASHING_PART, 1)
    cleared = quarantine.drain_cleared()
    assert frozenset(cleared) == CRASHING_PART
    for digest in cleared:
        peer.apply_cleared(digest, 1)
    for daemon in (quarantine, peer):
        assert not daemon.is_quarantined(b'call-9', CRASHING_PART)
    assert not peer.drain_cleared()


@pytest.mark.parametrize('crash_events', [0, 4, 5, 9])
def test_parts_of_an_answer_that_outlasted_the_crashes_are_not_quarantined(crash_events):
    """Guards against quarantine of sound parts that were being answered at crashes."""
    quarantine = Quarantine()
    with quarantine.track_answer(AnswerProgress(join_digests(FIRST_PART), events=5)):
        for number in range(2 * CRASH_LIMIT):
            crash = Crash(b'call-%d' % number, f'i-{number}', FIRST_PART, crash_events)
            quarantine.record_crash(crash, 0, is_from_peer=number % 2)
        assert quarantine.is_quarantined(b'call-9', FIRST_PART) == (crash_events >= 5)
    crash = Crash(b'call-8', 'i-8', FIRST_PART, crash_events)
    quarantine.record_crash(crash, 0, is_from_peer=False)
    assert quarantine.is_quarantined(b'call-9', FIRST_PART)


def test_same_part_of_another_service_is_not_quarantined():
    """Guards against refusing calls to upstreams that run another model."""
    quarantine = record_calls(*[CRASHING_PART] * CRASH_LIMIT)
    assert not quarantine.is_quarantined(b'call-9', digest_parts('other', [b'bad']))


def test_single_calls_probe_whether_upstreams_still_crash():
    """Guards against a part that is never tried again, and against probes that come too often."""
    quarantine = record_calls(*[CRASHING_PART] * CRASH_LIMIT)

    def find(now):
        return quarantine.find_probe_pattern(b'call-9', CRASHING_PART, now)

    assert find(PROBE_INTERVAL_S - 1) is None
    pattern = find(PROBE_INTERVAL_S)
    quarantine.start_probe(pattern, PROBE_INTERVAL_S)
    assert find(PROBE_INTERVAL_S + 1) is None
    assert find(PROBE_INTERVAL_S + PROBE_TIMEOUT_S) == pattern
    crash = Crash(b'call-9', 'i-9', CRASHING_PART)
    crashed_at = PROBE_INTERVAL_S + 1
    quarantine.record_crash(crash, crashed_at, is_from_peer=False, is_probe=True)
    assert find(crashed_at + 2 * PROBE_INTERVAL_S - 1) is None
    assert find(crashed_at + 2 * PROBE_INTERVAL_S) == pattern


def test_probe_that_another_daemon_sent_is_known():
    """Guards against a new prober that tries again at once."""
    quarantine, other = Quarantine(), Quarantine()
    record_calls(*[CRASHING_PART] * CRASH_LIMIT, quarantine=quarantine)
    crash = Crash(b'call-9', 'i-9', CRASHING_PART)
    quarantine.record_crash(crash, 0, is_from_peer=False, is_probe=True)
    for shared in quarantine.share_patterns(0):
        other.adopt(shared, 0)
    assert other.find_probe_pattern(b'call-9', CRASHING_PART, 2 * PROBE_INTERVAL_S - 1) is None
    assert other.find_probe_pattern(b'call-9', CRASHING_PART, 2 * PROBE_INTERVAL_S) is not None


def test_answer_with_other_parts_does_not_clear_a_crashing_part():
    """Guards against a crashing part that a call with the same content, but sound parts clears."""
    quarantine = Quarantine()
    for number in range(CRASH_LIMIT):
        crash = Crash(CALL_DIGEST, f'i-{number}', CRASHING_PROMPT)
        quarantine.record_crash(crash, 0, is_from_peer=False)
    quarantine.record_answer(FIRST_PART, 1)
    quarantine.record_success(CALL_DIGEST, 1)
    assert quarantine.is_quarantined(CALL_DIGEST, CRASHING_PROMPT)
    assert not quarantine.is_quarantined(CALL_DIGEST, FIRST_PART)


CALLS = strategies.sampled_from([b'call-1', b'call-2', b'call-3'])
PARTS = strategies.frozensets(strategies.sampled_from([b'p', b'q', b'r']), max_size=3)
UPSTREAMS = strategies.sampled_from(['i-1', 'i-2', 'i-3', 'i-4', 'i-5'])
EVENTS = strategies.one_of(
    strategies.tuples(strategies.just('crash'), CALLS, PARTS, UPSTREAMS, strategies.booleans()),
    strategies.tuples(strategies.just('answer'), CALLS, PARTS),
    strategies.tuples(strategies.just('cleared'), strategies.sampled_from([b'p', b'call-1'])),
    strategies.tuples(strategies.just('adopt'), strategies.just(b'') | CALLS, PARTS),
)


def apply_event(quarantine, event, now):
    kind, *fields = event
    if kind == 'crash':
        call, parts, upstream, is_from_peer = fields
        quarantine.record_crash(Crash(call, upstream, parts), now, is_from_peer=is_from_peer)
    elif kind == 'answer':
        quarantine.record_answer(fields[1], now)
        quarantine.record_success(fields[0], now)
    elif kind == 'cleared':
        quarantine.apply_cleared(fields[0], now)
    elif any(fields):
        quarantine.adopt(QuarantinedPattern(Pattern(*fields), age_s=1), now)


@hypothesis.given(events=strategies.lists(EVENTS, max_size=40))
def test_quarantine_holds_back_only_what_no_answer_has_cleared(events):
    """Guards against patterns of all calls, and of parts or calls that were just answered."""
    quarantine = Quarantine()
    for now, event in enumerate(events, start=1):
        apply_event(quarantine, event, now)
        if event[0] == 'answer':
            assert not quarantine.is_quarantined(event[1], event[2])
        for shared in quarantine.share_patterns(now):
            assert shared.pattern.digest or shared.pattern.parts
    quarantine.expire(len(events) + PATTERN_RETENTION_S)
    assert quarantine.is_empty
