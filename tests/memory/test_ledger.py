import contextlib
import random

from camphorpath.memory.bounds import MemoryBounds, make_bounds
from camphorpath.memory.ledger import LOOK_INTERVAL_S, BufferKind, EndReason, MemoryLedger

MB = 1_000_000
LOOKS = 120


def make_ledger():
    ledger = MemoryLedger()
    ledger.apply_bounds(MemoryBounds(10 * MB))
    return ledger


def test_load_of_slow_readers_stays_within_the_bound():
    """Guards against readers that stall until the process is killed, or steady ones that are cut.

    400 callers, of which a tenth has stopped reading, and large requests all the time.
    """
    generator, ledger = random.Random(1), make_ledger()
    admitted, refused = [], 0
    with contextlib.ExitStack() as stack:
        opened = [
            stack.enter_context(ledger.open_reader(BufferKind.TO_CALLER, 0)) for _ in 'x' * 400
        ]
        taken = dict.fromkeys(opened, 0)
        stalled = set(generator.sample(opened, 40))
        for step in range(LOOKS):
            for reader in list(taken):
                # Steady readers are acknowledged in steps, as by the kernel.
                taken[reader] += 20_000 * (reader not in stalled and generator.random() < 0.3)
                held = 200_000 if reader in stalled else 5000
                ledger.record(reader, held, taken[reader], step * LOOK_INTERVAL_S)
                if reader.end_reason:
                    ledger.record(reader, 0, 0, step * LOOK_INTERVAL_S)
                    taken.pop(reader)
            size = generator.choice((1000, MB))
            is_admitted = ledger.admits(size, 0, is_urgent=False)
            refused += not is_admitted
            admitted.append(size * is_admitted)
            ledger.requests.used_bytes = sum(admitted[-3:])
            ledger.relieve()
            assert ledger.count_total() <= ledger.bounds.buffered_bytes
        ended = set(opened) - taken.keys()
        assert ended and ended <= stalled
        assert refused < LOOKS / 3
    assert ledger.count_by_kind()[BufferKind.TO_CALLER] == 0


def test_most_bytes_for_the_slowest_reader_end_first():
    """Guards against a reader that keeps up, or holds little, and is ended for others."""
    ledger = make_ledger()
    with contextlib.ExitStack() as stack:
        large, small, recent = (
            stack.enter_context(ledger.open_reader(BufferKind.TO_CALLER, 0)) for _ in range(3)
        )
        for step in range(20):
            for reader, held in ((large, 5 * MB), (small, 2 * MB), (recent, 3 * MB)):
                ledger.record(reader, held, step * (reader is recent), step * LOOK_INTERVAL_S)
        ledger.relieve()
        assert ledger.pop_ended() == [large]
        assert large.end_reason is EndReason.PRESSURE


def test_suspension_and_slow_steps_are_no_stall():
    """Guards against callers that are disconnected after this daemon was suspended."""
    ledger = make_ledger()
    with ledger.open_reader(BufferKind.TO_CALLER, 0) as reader:
        for now in (1, 60, *(60 + n / 4 for n in range(28)), 68, *(68 + n / 4 for n in range(40))):
            ledger.record(reader, MB, int(now >= 68), now)
            assert not reader.is_stalled(ledger.bounds.stream_stall_s)


def test_urgent_requests_have_room_that_others_may_not_take():
    """Guards against urgent calls that are refused for others, small ones at all, and a bound
    where no memory limit is stated."""
    ledger = make_ledger()
    ledger.requests.used_bytes = 7 * MB
    assert not ledger.admits(MB, 0, is_urgent=False)
    assert ledger.admits(MB, 0, is_urgent=True)
    ledger.requests.used_bytes = 20 * MB
    assert not ledger.admits(MB, 0, is_urgent=True)
    assert ledger.admits(65536, 0, is_urgent=False)
    ledger.bounds = make_bounds(0)
    assert ledger.admits(10**9, 0, is_urgent=False)
