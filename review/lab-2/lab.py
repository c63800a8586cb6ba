"""Runs a small fleet of real daemons against the project's own stand-ins, for the review cases."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import sys
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from tests.processes import fleet as fleets  # noqa: E402
from tests.processes.messages import make_head, read_request, reset  # noqa: E402,F401
from tests.processes.upstreams import StreamUpstream  # noqa: E402,F401

HELD, BROKEN, NOT_RUN = 0, 1, 2
CONNECT_LIMIT_S = 1.0
KEY = 'key-of-tenant-a'
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# Ids of all processes that were started.
STARTED = []


class Daemon(fleets.Daemon):
    """A daemon that is started with the `run` line of the deploy file, after its `build` line."""

    async def start(self):
        if self.is_starting or self.is_running:
            return
        self.is_starting = True
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', ''),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'CAMPHORPATH_CONFIG': str(self.settings_path),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        self.is_ending = False
        self.started_at = time.monotonic()
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3',
                '-m',
                'camphorpath',
                'edge',
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        STARTED.append(self.process.pid)
        self.is_starting = False


fleets.Daemon = Daemon


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.lines = []
        self._path = pathlib.Path(folder) / 'record.txt'
        self._started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self._started_at

    def log(self, text):
        self.lines.append(f'{self.now():8.3f} {text}')

    def write(self):
        self._path.write_text('\n'.join(self.lines) + '\n')


class Answer:
    """What a client got for one request."""

    def __init__(self, attempt):
        self.attempt = attempt
        self.status = None
        self.headers = {}
        self.body = b''
        # 'complete', 'cut' (the channel ended or was reset first), 'late' or 'unreached'.
        self.end = ''


async def call(address, method, path, headers, body=b'', limit_s=10.0, on_body=None):
    """Send one request on a new channel and return its answer; `headers` is a list of pairs."""
    attempt = dict(headers).get('X-Attempt-Id', '')
    answer = Answer(attempt)
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(CONNECT_LIMIT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError):
        answer.end = 'unreached'
        return answer
    try:
        lines = [f'{method} {path} HTTP/1.1', *(f'{name}: {text}' for name, text in headers)]
        if body or method != 'GET':
            lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join([*lines, '', '']).encode() + body)
        async with asyncio.timeout(limit_s):
            await _read_answer(reader, answer, on_body)
        answer.end = 'complete'
    except TimeoutError:
        answer.end = 'late'
    except (OSError, asyncio.IncompleteReadError, ValueError):
        answer.end = 'cut'
    finally:
        writer.close()
    return answer


async def _read_answer(reader, answer, on_body):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').split('\r\n')
    answer.status = int(head[0].split()[1])
    for line in head[1:]:
        name, _, text = line.partition(':')
        if name:
            answer.headers[name.strip().lower()] = text.strip()
    if answer.headers.get('transfer-encoding', '').lower() != 'chunked':
        length = int(answer.headers.get('content-length', '0'))
        answer.body = await reader.readexactly(length)
        return
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        chunk = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return
        answer.body += chunk
        if on_body:
            on_body(chunk)


def make_attempt_id(rng):
    return f'{rng.getrandbits(64):016x}'


async def resolve(fleet, zone):
    """Ask the daemons where to connect, as requesters do; return the addresses."""
    for daemon in fleet.daemons:
        address = f'{daemon.host}:{daemon.ports["directory_service"]}'
        target = f'/camphorpath/resolve?name=a.example&region={fleets.ZONES[zone]}&zone={zone}'
        found = await fleets.fetch(address, target, limit_s=1.0)
        if found is not None and found[0] == 200:
            return json.loads(found[1])['addresses']
    return []


def end_processes():
    """Kill the started processes that still run; they are children of this one."""
    for pid in STARTED:
        with contextlib.suppress(ChildProcessError, ProcessLookupError):
            if os.waitpid(pid, os.WNOHANG) == (0, 0):
                os.kill(pid, signal.SIGKILL)
                os.waitpid(pid, 0)


def _interrupt(_number, _frame):
    raise KeyboardInterrupt


def run_case(folder, main, limit_s=110.0):
    """Run `main(record)`, write its record and exit with what it returns."""
    record = Record(folder)
    random.seed()
    # Ends the processes, too, if the case itself is told to end.
    signal.signal(signal.SIGTERM, _interrupt)
    code = NOT_RUN
    try:
        code = asyncio.run(asyncio.wait_for(main(record), limit_s))
    except BaseException:
        record.log(traceback.format_exc())
    finally:
        end_processes()
        record.log(f'exit {code}')
        with contextlib.suppress(OSError):
            record.write()
    print(record.lines[-2] if len(record.lines) > 1 else '', flush=True)
    raise SystemExit(code)
