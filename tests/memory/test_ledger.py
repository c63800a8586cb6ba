import contextlib
import random

from camphorpath.memory.bounds import MemoryBounds, make_bounds
from camphorpath.memory.ledger import LOOK_INTERVAL_S, BufferKind, EndReason, MemoryLedger

MB = 1_000_000
PART_BYTES = 200_000
SECONDS = 30


def make_ledger(buffered_bytes=10 * MB):
    ledger = MemoryLedger()
    ledger.apply_bounds(MemoryBounds(buffered_bytes))
    return ledger


def test_load_of_slow_readers_stays_within_the_bound():
    """Guards against readers that stall until the process is killed, or steady ones that are cut.

    400 callers, of which a tenth has stopped reading, and large requests all the time.
    """
    generator = random.Random(1)
    ledger = make_ledger()
    admitted, refused = [], 0
    with contextlib.ExitStack() as stack:
        opened = [
            stack.enter_context(ledger.open_reader(BufferKind.TO_CALLER, 0)) for _ in range(400)
        ]
        readers = dict.fromkeys(opened, 0)
        stalled = set(generator.sample(opened, 40))
        for step in range(int(SECONDS / LOOK_INTERVAL_S)):
            now = step * LOOK_INTERVAL_S
            for reader in list(readers):
                if reader.end_reason:
                    ledger.record(reader, 0, 0, now)
                    readers.pop(reader)
                    continue
                # Steady readers are acknowledged in steps, as by the kernel.
                if reader not in stalled and generator.random() < 0.3:
                    readers[reader] += 20_000
                held = PART_BYTES if reader in stalled else 5000
                ledger.record(reader, held, readers[reader], now)
            size = generator.choice((1000, MB))
            if ledger.admits(size, 0, is_urgent=False):
                admitted.append(size)
                ledger.requests.used_bytes += size
            else:
                refused += 1
            if len(admitted) > 3:
                ledger.requests.used_bytes -= admitted.pop(0)
            ledger.relieve()
            assert ledger.count_total() <= ledger.bounds.buffered_bytes + 65536
        ended = set(opened) - readers.keys()
        assert ended and ended <= stalled
        assert refused < SECONDS / LOOK_INTERVAL_S / 3
    assert ledger.count_by_kind()[BufferKind.TO_CALLER] == 0


def test_most_bytes_for_the_slowest_reader_end_first():
    """Guards against a reader that keeps up, or holds little, and is ended for others."""
    ledger = make_ledger()
    with contextlib.ExitStack() as stack:
        large, small, recent = (
            stack.enter_context(ledger.open_reader(BufferKind.TO_CALLER, 0)) for _ in range(3)
        )
        for step in range(20):
            now = step * LOOK_INTERVAL_S
            ledger.record(large, 5 * MB, 0, now)
            ledger.record(small, 2 * MB, 0, now)
            ledger.record(recent, 3 * MB, step, now)
        ledger.relieve()
        assert ledger.is_under_pressure
        assert ledger.pop_ended() == [large]
        assert large.end_reason is EndReason.PRESSURE


def test_suspension_and_slow_steps_are_no_stall():
    """Guards against callers that are disconnected after this daemon was suspended."""
    ledger = make_ledger()
    with ledger.open_reader(BufferKind.TO_CALLER, 0) as reader:
        ledger.record(reader, MB, 0, 1)
        ledger.record(reader, MB, 0, 60)
        assert not reader.is_stalled(ledger.bounds.stream_stall_s)
        for step in range(28):
            ledger.record(reader, MB, 0, 60 + step * LOOK_INTERVAL_S)
        ledger.record(reader, MB, 1, 68)
        for step in range(40):
            ledger.record(reader, MB, 1, 68 + step * LOOK_INTERVAL_S)
        assert not reader.is_stalled(ledger.bounds.stream_stall_s)


def test_urgent_requests_have_room_that_others_may_not_take():
    """Guards against urgent calls that are refused because of others, and small ones at all."""
    ledger = make_ledger()
    ledger.requests.used_bytes = 7 * MB
    assert not ledger.admits(MB, 0, is_urgent=False)
    assert ledger.admits(MB, 0, is_urgent=True)
    ledger.requests.used_bytes = 20 * MB
    assert not ledger.admits(MB, 0, is_urgent=True)
    assert ledger.admits(65536, 0, is_urgent=False)


def test_without_a_limit_nothing_is_bounded():
    """Guards against a part that takes effect in deployments that do not ask for it."""
    ledger = MemoryLedger(make_bounds(0))
    ledger.requests.used_bytes = 10**12
    ledger.relieve()
    assert ledger.admits(10**9, 0, is_urgent=False)
