"""Processor time, memory and TCP traffic of a process, read from /proc and `ss`."""

import os
import pathlib
import re
import time

import anyio
import attrs

SAMPLE_INTERVAL_S = 0.5
NS_PER_S = 1e9
BYTES_PER_KIB = 1024
# In one line of `ss -tinHOp`: the process and its byte counters.
PID_PATTERN = re.compile(r'pid=(\d+),')
BYTE_COUNTER_PATTERN = re.compile(r'\b(bytes_sent|bytes_received):(\d+)')


def read_cpu_s(pid: int) -> float:
    """Return the processor time used by all threads of a process in seconds."""
    tasks = pathlib.Path(f'/proc/{pid}/task').iterdir()
    return sum(int((task / 'schedstat').read_text().split()[0]) for task in tasks) / NS_PER_S


def read_memory_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    return int(re.search(r'VmRSS:\s+(\d+)', status)[1]) * BYTES_PER_KIB


def read_own_cpu_s() -> float:
    """Return the processor time used by this process in seconds."""
    return read_cpu_s(os.getpid())


@attrs.define
class TrafficMeter:
    """Counts the TCP payload bytes of one process by connection, in both directions.

    Connections are sampled: one that opens and closes between two samples is missed.
    """

    pid: int
    sent: dict[str, int] = attrs.Factory(dict)
    received: dict[str, int] = attrs.Factory(dict)
    _baselines: dict[str, dict[str, int]] = attrs.Factory(dict)

    async def sample(self) -> None:
        """Read the byte counters of all connections of the process."""
        result = await anyio.run_process(['ss', '-tinHOp'])
        for line in result.stdout.decode().splitlines():
            owner = PID_PATTERN.search(line)
            if owner is None or int(owner[1]) != self.pid:
                continue
            columns = line.split()
            connection = f'{columns[3]} {columns[4]}'
            counters = {key: int(number) for key, number in BYTE_COUNTER_PATTERN.findall(line)}
            baseline = self._baselines.setdefault(connection, counters)
            for key, totals in (('bytes_sent', self.sent), ('bytes_received', self.received)):
                totals[connection] = counters.get(key, 0) - baseline.get(key, 0)

    async def watch(self, seconds: float) -> None:
        """Sample at intervals for `seconds`, and once at the end."""
        end_at = time.monotonic() + seconds
        while time.monotonic() < end_at:
            await self.sample()
            await anyio.sleep(SAMPLE_INTERVAL_S)
        await self.sample()

    def sum_by(self, groups: dict[str, str]) -> dict[str, int]:
        """Return the bytes in both directions by group of the remote or else the own address."""
        bytes_by_group: dict[str, int] = {}
        for totals in (self.sent, self.received):
            for connection, count in totals.items():
                own, remote = connection.split()
                group = groups.get(remote) or groups.get(own) or 'other'
                bytes_by_group[group] = bytes_by_group.get(group, 0) + count
        return bytes_by_group
