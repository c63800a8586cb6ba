"""Processor time, memory and network traffic of a process, read from the kernel."""

import os
import pathlib
import re
import time

import anyio
import attrs

SAMPLE_S = 0.5
NS_PER_S = 1e9
BYTES_PER_KIB = 1024
# One line of `ss -tinHO`: local and peer address, the process, and its byte counters.
PROCESS = re.compile(r'pid=(\d+),')
COUNTERS = re.compile(r'\b(bytes_sent|bytes_received):(\d+)')


def read_cpu_s(pid: int) -> float:
    """Return the processor seconds that all threads of a process have used."""
    tasks = pathlib.Path(f'/proc/{pid}/task').iterdir()
    return sum(int((task / 'schedstat').read_text().split()[0]) for task in tasks) / NS_PER_S


def read_memory_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    return int(re.search(r'VmRSS:\s+(\d+)', status)[1]) * BYTES_PER_KIB


def read_own_cpu_s() -> float:
    """Return the processor seconds of this process."""
    return read_cpu_s(os.getpid())


@attrs.define
class Traffic:
    """Bytes of TCP payload of one process by connection, both directions.

    Connections are sampled; one that opens and closes between two samples is missed.
    """

    pid: int
    sent: dict[str, int] = attrs.Factory(dict)
    received: dict[str, int] = attrs.Factory(dict)
    _first: dict[str, dict[str, int]] = attrs.Factory(dict)

    async def sample(self) -> None:
        """Read the counters of all connections of the process."""
        done = await anyio.run_process(['ss', '-tinHOp'])
        for line in done.stdout.decode().splitlines():
            owner = PROCESS.search(line)
            if owner is None or int(owner[1]) != self.pid:
                continue
            words = line.split()
            name = f'{words[3]} {words[4]}'
            counters = {key: int(number) for key, number in COUNTERS.findall(line)}
            first = self._first.setdefault(name, counters)
            for key, totals in (('bytes_sent', self.sent), ('bytes_received', self.received)):
                totals[name] = counters.get(key, 0) - first.get(key, 0)

    async def watch(self, seconds: float) -> None:
        """Sample for some time."""
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            await self.sample()
            await anyio.sleep(SAMPLE_S)
        await self.sample()

    def sum_by(self, groups: dict[str, str]) -> dict[str, int]:
        """Return the bytes in both directions by group of the remote or own address."""
        found: dict[str, int] = {}
        for totals in (self.sent, self.received):
            for name, count in totals.items():
                own, remote = name.split()
                group = groups.get(remote) or groups.get(own) or 'other'
                found[group] = found.get(group, 0) + count
        return found
