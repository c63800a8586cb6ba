"""A runner in trouble and a reading requester, each a process of its own so that neither is slow.

`flood.py runner HOST PORT ID KIND` answers each request without end, until the channel is closed: with
`events` (a stream of events) or `chunks` (a body in chunks of one byte). `flood.py requester HOST PORT
ATTEMPT SECONDS PATH` sends one request, reads what comes and closes its channel after SECONDS; it prints
how long and how much it read.
"""

import socket
import sys
import threading
import time

# The header of the body, and what is sent again and again.
BODIES = {
    'events': ('Content-Type: text/event-stream', b'data: ........\n\n' * 16384),
    'chunks': ('Transfer-Encoding: chunked', b'1\r\nx\r\n' * 40000),
}


def serve(channel, runner_id, kind):
    header, endless = BODIES[kind]
    head = b''
    while b'\r\n\r\n' not in head:
        chunk = channel.recv(65536)
        if not chunk:
            return
        head += chunk
    attempt = ''
    for line in head.decode('latin-1').split('\r\n'):
        name, _, text = line.partition(':')
        if name.lower() == 'x-attempt-id':
            attempt = text.strip()
    channel.sendall(
        f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Runner-Signature: {runner_id}.{attempt}\r\n'
        f'{header}\r\n\r\n'.encode()
    )
    try:
        while True:
            channel.sendall(endless)
    except OSError:
        channel.close()


def run_runner(host, port, runner_id, kind):
    listener = socket.create_server((host, int(port)))
    while True:
        channel, _peer = listener.accept()
        threading.Thread(target=serve, args=(channel, runner_id, kind), daemon=True).start()


def run_requester(host, port, attempt, seconds, path):
    until = time.monotonic() + float(seconds)
    channel = socket.create_connection((host, int(port)))
    channel.sendall(
        f'POST {path}1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {attempt}\r\n'
        f'X-Deadline-Ms: {round(float(seconds) * 1000)}\r\nContent-Length: 2\r\n\r\n{{}}'.encode()
    )
    started = time.monotonic()
    count = 0
    buffer = bytearray(1 << 20)
    end = 'its time limit'
    while time.monotonic() < until:
        channel.settimeout(max(until - time.monotonic(), 0.001))
        try:
            size = channel.recv_into(buffer)
        except TimeoutError:
            break
        except OSError as error:
            end = repr(error)
            break
        if not size:
            end = 'the end of the answer'
            break
        count += size
    channel.close()
    print(f'{time.monotonic() - started:.2f} s, {count} bytes, until {end}', flush=True)


if __name__ == '__main__':
    {'runner': run_runner, 'requester': run_requester}[sys.argv[1]](*sys.argv[2:])
