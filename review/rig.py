"""Stand-ins and clients shared by the cases of the review.

Only the standard library is used. The store, the workers and the clients
speak what the users' PROTOCOL.md says; the routers are the project's own,
started with the ``run`` line of ``deploy/system.toml``.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parent.parent
STORE_ANSWER_S = 0.004
TX_S = 0.003
BEAT_S = 1.2
STABLE_S = 3.0
GRACE_S = 8.0
HOST = 'ficu95.example'
_RESET = struct.pack('ii', 1, 0)

SETTINGS = """
node = "{name}"
role = "router"
machine_class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "aegean"
port_range = [{low},{high}]
seeds = [{seeds}]
first_start = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
beat_interval_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
naxos = "aegean"
paros = "aegean"
tinos = "aegean"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
revoke_strict = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
recover_s = 12
pass_ms = 120
reuse_window_s = 10
settle_ms = 1500
[platform]
address = "{store}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
tx_ms = 3.0
part_writes_s = 300
row_bytes = 65536
across = true
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
"""


class Record:
    """Writes what happens to ``record.txt`` and keeps it."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self._file = open(Path(folder) / 'record.txt', 'w', encoding='utf-8')

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        line = f'{self.now():8.3f} s  {text}'
        self._file.write(line + '\n')
        self._file.flush()

    def close(self):
        self._file.close()


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


async def read_head(reader):
    """Return (first line, headers by lower-case name) or None at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    return lines[0], headers


async def read_body(reader, headers, to_end=False):
    """Return the whole body; raise IncompleteReadError if it is cut."""
    if 'chunked' in headers.get('transfer-encoding', '').lower():
        body = b''
        while True:
            line = await reader.readuntil(b'\r\n')
            size = int(line.split(b';')[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    return await reader.read() if to_end else b''


class Store:
    """The platform's store: rows, transactions under conditions, the feed."""

    def __init__(self):
        self.rows = {}
        self.changes = []
        self.version = 0
        self.changed = asyncio.Event()
        self.address = ''
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def write(self, table, key, fields, part=''):
        """Write a row as the operator or a worker does; None removes it."""
        value = None
        if fields is not None:
            value = base64.b64encode(json.dumps(fields).encode()).decode()
        self.apply([((table, part, key), value)])

    def apply(self, writes):
        self.version += 1
        for key, value in writes:
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (value, self.version)
            self.changes.append((key, value, self.version))
        self.changed.set()
        self.changed = asyncio.Event()

    def close(self):
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                method, target, _ = line.split(' ')
                body = await read_body(reader, headers)
                path, _, query = target.partition('?')
                args = {k: v[0] for k, v in parse_qs(query, True).items()}
                status, fields = await self._answer(path, args, body)
                fields |= {'ver': self.version}
                fields['now_ms'] = round(time.monotonic() * 1000)
                out = json.dumps(fields).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(out)}\r\n\r\n'.encode() + out
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass  # the case has ended
        finally:
            writer.close()

    async def _answer(self, path, args, body):
        await asyncio.sleep(STORE_ANSWER_S)
        if path == '/v1/rows-get':
            return 200, self._get(args)
        if path == '/v1/rows-feed':
            return 200, await self._feed(args)
        if path == '/v1/rows-tx':
            await asyncio.sleep(TX_S)
            return self._commit(json.loads(body))
        if path == '/v1/rows-parts':
            parts = sorted({k[1] for k in self.rows if k[0] == args['table']})
            return 200, {'parts': parts, 'more_pages': False}
        return 404, {}

    def _get(self, args):
        first, end = args.get('from', ''), args.get('to', '')
        limit = min(500, int(args.get('limit', 500)))
        found = [
            _row(key, value, version)
            for key, (value, version) in sorted(self.rows.items())
            if key[:2] == (args['table'], args.get('part', ''))
            and key[2] >= first
            and (not end or key[2] < end)
        ]
        return {'rows': found[:limit], 'more_pages': len(found) > limit}

    async def _feed(self, args):
        since, wait = int(args['after_rev']), int(args.get('wait_ms', 0))
        until = time.monotonic() + min(30_000, wait) / 1000
        while True:
            rows = [
                _row(*change)
                for change in self.changes
                if change[2] > since and change[0][0] == args['table']
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return {'rows': rows}
            changed = asyncio.ensure_future(self.changed.wait())
            await asyncio.wait({changed}, timeout=left)
            changed.cancel()

    def _commit(self, body):
        for check in body.get('expected_rev', ()):
            key = _key(check)
            version = self.rows[key][1] if key in self.rows else 0
            if version != check['ver']:
                rows = [
                    _row(_key(one), *self.rows[_key(one)])
                    for one in body['expected_rev']
                    if _key(one) in self.rows
                ]
                return 412, {'rows': rows}
        writes = [(_key(row), row['value']) for row in body.get('writes', ())]
        writes += [(_key(row), None) for row in body.get('remove', ())]
        self.apply(writes)
        return 200, {}


def _key(fields):
    return fields['table'], fields.get('part', ''), fields['key']


def _row(key, value, version):
    row = {'table': key[0], 'part': key[1], 'key': key[2], 'ver': version}
    return row | ({'deleted': True} if value is None else {'value': value})


class Run:
    """One run of a request at a worker."""

    def __init__(self, worker, request_id, path, at):
        self.worker = worker
        self.request_id = request_id
        self.path = path
        self.began = at
        self.ended = None
        self.outcome = 'running'


class Worker:
    """A worker: registers in the store, answers requests, may crash.

    ``handle`` is called for each request with (worker, run, headers, body,
    writer) and writes the answer.
    """

    def __init__(self, store, record, runs, service, zone, handle, slots=6):
        self.store, self.record, self.runs = store, record, runs
        self.service, self.zone, self.slots = service, zone, slots
        self.handle = handle
        self.port = None
        self.target_id = ''
        self.state = 'ready'
        self.writers = set()
        self._server = None
        self._beats = None
        self._sequence = 0

    async def start(self):
        """Start a new incarnation, at the address of the one before."""
        self.target_id = f'i-{random.getrandbits(40):010x}'
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port or 0
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.record(
            f'worker {self.target_id} of {self.service} starts at {self.address}'
        )
        self._beats = asyncio.ensure_future(self._beat())

    @property
    def address(self):
        return f'127.0.0.1:{self.port}'

    def crash(self, down_s):
        """Reset all connections, and be back as a new incarnation later."""
        self.record(f'worker {self.target_id} crashes')
        self._beats.cancel()
        self._server.close()
        for writer in tuple(self.writers):
            sock = writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            writer.transport.abort()
        asyncio.ensure_future(self._come_back(self.target_id, down_s))

    def close(self):
        if self._server is not None:
            self._beats.cancel()
            self._server.close()

    async def _come_back(self, old_id, down_s):
        expiry = 3 * BEAT_S
        await asyncio.sleep(min(down_s, expiry))
        if down_s < expiry:
            await self.start()
            await asyncio.sleep(expiry - down_s)
            self.store.write('servers', old_id, None)
            return
        self.store.write('servers', old_id, None)
        await asyncio.sleep(down_s - expiry)
        await self.start()

    async def _beat(self):
        while True:
            self._sequence += 1
            self.store.write('servers', self.target_id, {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slots,
                'state': self.state,
                'cold_left_ms': 0,
                'stage': 'both',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'sequence': self._sequence,
            })
            await asyncio.sleep(BEAT_S)

    async def _serve(self, reader, writer):
        own_id = self.target_id
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await read_body(reader, headers)
                if self.target_id != own_id:
                    break
                if headers.get('expect-instance', own_id) != own_id:
                    writer.write(
                        b'HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1'
                        b'\r\nContent-Length: 0\r\n\r\n'
                    )
                    await writer.drain()
                    continue
                run = Run(
                    own_id,
                    headers.get('attempt-id', ''),
                    line.split(' ')[1],
                    time.monotonic(),
                )
                self.runs.append(run)
                self.record(
                    f'worker {own_id} runs {run.request_id} {run.path}'
                )
                # Like most workers it drops a request whose connection closes.
                work = asyncio.ensure_future(
                    self.handle(self, run, headers, body, writer)
                )
                closed = asyncio.ensure_future(_wait_closed(reader))
                await asyncio.wait(
                    {work, closed}, return_when=asyncio.FIRST_COMPLETED
                )
                if not work.done():
                    work.cancel()
                    run.outcome = 'dropped: its connection closed'
                closed.cancel()
                await asyncio.gather(work, closed, return_exceptions=True)
                run.ended = time.monotonic()
                if run.outcome == 'running':
                    run.outcome = 'done'
                self.record(
                    f'worker {own_id} ends {run.request_id}: {run.outcome}'
                )
                if work.cancelled() or work.exception():
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass  # the case has ended
        finally:
            self.writers.discard(writer)
            writer.close()


async def _wait_closed(reader):
    """Return when the peer has closed the connection."""
    while not reader.at_eof() and reader.exception() is None:
        # Peeking keeps the bytes of a next request in the reader.
        await asyncio.sleep(0.005)


def stamp():
    return f'3e1b.07.5a2.600.0.{random.getrandbits(32):08x}'


def answer_head(headers, length=None, status='200 OK', kind='text/plain'):
    """Return the head of a worker's own answer."""
    lines = [
        f'HTTP/1.1 {status}',
        f'Attempt-Id: {headers.get("attempt-id", "")}',
        f'Response-Stamp: {stamp()}',
        f'Content-Type: {kind}',
        'Transfer-Encoding: chunked'
        if length is None
        else f'Content-Length: {length}',
    ]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def chunk(data):
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


class Router:
    """One router process of the project, as the platform runs it."""

    def __init__(self, record, folder, number, ip, zone, ports):
        self.record, self.number, self.ip, self.zone = record, number, ip, zone
        self.front, self.ready_port, self.control, self.low = ports
        self.name = f'front-{zone}-{number}'
        self.settings = Path(folder) / f'{self.name}.toml'
        self.log = Path(folder) / f'{self.name}.log'
        self.process = None
        self.disturbed_at = float('-inf')

    def write_settings(self, store, seeds):
        self.settings.write_text(SETTINGS.format(
            name=self.name, ip=self.ip, zone=self.zone, store=store,
            seeds=','.join(f'"{one}"' for one in seeds),
            front=self.front, ready=self.ready_port, control=self.control,
            low=self.low, high=self.low + 15,
        ))

    async def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        (role,) = deploy['roles'].values()
        kept = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env['BALSAMREACH_BOOT'] = str(self.settings)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        with open(self.log, 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(role['run']), cwd=ROOT, env=env,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            )
        self.record(f'{self.name} starts (process {self.process.pid})')
        until = time.monotonic() + 20
        while time.monotonic() < until:
            if await self.is_ready():
                self.disturbed_at = time.monotonic()
                self.record(f'{self.name} is ready')
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f'{self.name} does not become ready')

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.ready_port
            )
        except OSError:
            return False
        writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n')
        line = await reader.readline()
        writer.close()
        return b' 200 ' in line

    def signal(self, number, note):
        self.disturbed_at = time.monotonic()
        self.record(f'{self.name}: {note}')
        self.process.send_signal(number)

    async def terminate(self):
        """SIGTERM, and SIGKILL after the grace."""
        self.signal(signal.SIGTERM, 'SIGTERM')
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_S)
        except TimeoutError:
            self.signal(signal.SIGKILL, 'SIGKILL after the grace')
            await self.process.wait()
        self.record(f'{self.name} has ended')

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Answer:
    """What a client got for one attempt."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.whole = False
        self.error = ''

    def __str__(self):
        if not self.status:
            return f'no answer ({self.error})'
        kind = 'whole' if self.whole else f'cut ({self.error})'
        signed = 'signed' if 'response-stamp' in self.headers else 'unsigned'
        return f'{self.status}, {signed}, {len(self.body)} bytes, {kind}'


_ids = itertools.count(1)


def attempt_id():
    return f'{random.getrandbits(40):010x}{next(_ids):06x}'


def request_head(method, path, request_id, key, deadline_ms, length, extra=()):
    lines = [
        f'{method} {path} HTTP/1.1', f'Host: {HOST}',
        f'Attempt-Id: {request_id}', f'Deadline-Ms: {deadline_ms}',
        f'Authorization: Bearer {key}', *extra,
    ]
    if method != 'GET':
        lines.append(f'Content-Length: {length}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


async def read_answer(reader, answer, timeout):
    try:
        async with asyncio.timeout(timeout):
            head = await read_head(reader)
            if head is None:
                answer.error = 'the connection was closed'
                return answer
            line, answer.headers = head
            answer.status = int(line.split(' ')[1])
            answer.body = await read_body(reader, answer.headers, to_end=True)
            answer.whole = True
    except TimeoutError:
        answer.error = 'the client gave up at its deadline'
    except asyncio.IncompleteReadError as exc:
        answer.body = exc.partial
        answer.error = 'the connection was closed'
    except ConnectionError as exc:
        answer.error = type(exc).__name__
    return answer


async def stream_tokens(worker, run, headers, body, writer, gap_s=0.02):
    """Answer a request with a prompt by a stream of events, as engines do."""
    tokens_in, tokens = map(int, headers['token-counts'].split(','))
    first = int(headers.get('last-event-id') or 0) + 1
    # The prompt is read before the first token, 101 tokens in a millisecond.
    await asyncio.sleep(tokens_in / 101_000)
    writer.write(answer_head(headers, kind='text/event-stream'))
    for number in range(first, max(1, tokens // 6) + 1):
        await asyncio.sleep(gap_s)
        event = f'id: {number}\ndata: {run.request_id} {"x" * 20}\n\n'
        writer.write(chunk(event.encode()))
        await writer.drain()
    writer.write(b'0\r\n\r\n')
    await writer.drain()


def prompt_headers(tokens_in, tokens_out, session):
    return (
        'Model-Name: m',
        f'Token-Counts: {tokens_in},{tokens_out}',
        f'Prompt-Prefix: 5c1e07a2:198,{session:08x}:{tokens_in - 198}',
    )


async def ask(record, router, method, path, key, deadline_ms=4000, body=b'',
              extra=(), request_id=None, quiet=False):
    """Send one client attempt on a new connection; return its answer."""
    request_id = request_id or attempt_id()
    answer = Answer()
    if not quiet:
        record(f'client sends {request_id} {method} {path} to {router.name}')
    try:
        reader, writer = await asyncio.open_connection(router.ip, router.front)
    except OSError as exc:
        answer.error = type(exc).__name__
        return answer
    writer.write(request_head(
        method, path, request_id, key, deadline_ms, len(body), extra
    ) + body)
    await read_answer(reader, answer, deadline_ms / 1000)
    writer.close()
    if not quiet:
        record(f'client gets for {request_id}: {answer}')
    return answer


class Fleet:
    """Store, workers and routers of one small deployment."""

    ZONES = ('naxos', 'paros', 'tinos')

    def __init__(self, folder, tenants=10):
        self.record = Record(folder)
        self.store = Store()
        self.runs = []
        self.workers = []
        self.routers = []
        self.tenants = [
            {
                'name': f'hule{number}',
                'api_keys': [f'key{number}sya119563c'],
                'priority': 1,
                'prepaid': 3_243_542,
            }
            for number in range(tenants)
        ]
        self._folder = tempfile.TemporaryDirectory(prefix='review-')

    def key(self, number=0):
        return self.tenants[number % len(self.tenants)]['api_keys'][0]

    async def start(self, routers, config):
        await self.store.start()
        self.store.write('op', 'config', config | {'tenants': self.tenants})
        for worker in self.workers:
            await worker.start()
        net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        ports = self._pick_ports(f'{net}.1')
        for number in range(1, routers + 1):
            self.routers.append(Router(
                self.record, self._folder.name, number, f'{net}.{number}',
                self.ZONES[(number - 1) % 3], ports,
            ))
        seeds = [f'{one.ip}:{one.control}' for one in self.routers[:3]]
        for router in self.routers:
            router.write_settings(self.store.address, seeds)
        await asyncio.gather(*(one.start() for one in self.routers))

    async def stop(self):
        for router in self.routers:
            await router.kill()
        for worker in self.workers:
            worker.close()
        self.store.close()
        logs = os.environ.get('KEEP_LOGS')
        if logs:
            for router in self.routers:
                (Path(logs) / router.log.name).write_bytes(
                    router.log.read_bytes()
                )
        self._folder.cleanup()
        self.record('all processes of the case have ended')

    @staticmethod
    def _pick_ports(ip):
        # The sixteen ports of the range lie below the ephemeral ports.
        low = random.randrange(7000, 30000, 16)
        return free_port(ip), free_port(ip), free_port(ip), low


def config(services, routes):
    return {
        'version': 7,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }


def route(name, prefix, service, kind, **more):
    fields = {
        'name': name, 'host': HOST, 'prefix': prefix, 'route_type': kind,
        'timeout_ms': 4000, 'target_latency_ms': 300, 'priority': 2,
        'service': service, 'max_attempts': 1, 'public_access': False,
    }
    return fields | more


PLAIN_SERVICE = {
    'health_path': '/health', 'max_conns': 110, 'protocol': 'h1', 'tls': False,
}
ENGINE = {
    'slots': 64, 'kv_capacity': 800109, 'kv_token_bytes': 327680,
    'link_mbps': 550000.0, 'moves': True, 'backups': True, 'stride': 6,
    'most': 12, 'pin_ms': 4000.0, 'hold_ms': 2000.0, 'handle_s': 5.0,
    'models': [{'name': 'm'}],
}


def main(folder, case):
    """Run a case; exit 1 if the rule broke, 0 if it held, 2 if it can't run.

    ``case`` is a coroutine function of (fleet, has_trouble); it returns the
    list of breaks.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run():
        # Whoever ends the case early leaves no process of it behind.
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        fleet = Fleet(folder)
        fleet.record(f'disruption: {"yes" if has_trouble else "no"}')
        try:
            async with asyncio.timeout(110):
                breaks = await case(fleet, has_trouble)
        finally:
            await fleet.stop()
        for one in breaks:
            fleet.record(f'BROKEN {one}')
            print(f'BROKEN {one}')
        verdict = 'broken' if breaks else 'held'
        fleet.record(f'the rule was {verdict}')
        fleet.record.close()
        print(f'the rule was {verdict}')
        return 1 if breaks else 0

    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as exc:
        print(f'the case could not run: {type(exc).__name__}: {exc}')
        code = 2
    sys.exit(code)
