"""Stand-ins of the platform, workers and clients for the scripts of review 4 to 8.

Only the standard library is used. Each stand-in speaks what PROTOCOL.md says,
over loopback addresses and on the real clock. Routers are started with the run
line of deploy/system.toml, as separate processes.
"""

import asyncio
import base64
import itertools
import json
import os
import shlex
import signal
import socket
import struct
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BEAT_S = 1.2
HISTORY_S = 20
STABLE_S = 3.0
HOST = 'desk.example'
KEY = 'key-of-team-a'
TEAM = 'team-a'
ZONES = ('naxos', 'paros', 'tinos')

_RESET = struct.pack('ii', 1, 0)
_SETTINGS = """
node = "{name}"
role = "router"
machine_class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "aegean"
port_range = [{first_port},{last_port}]
seeds = [{seeds}]
first_start = {first}
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
    """Writes what was sent, answered and run to a file, with the time."""

    def __init__(self, path):
        self.started = time.monotonic()
        self._file = open(path, 'w', encoding='utf-8')

    def add(self, text):
        at = time.monotonic() - self.started
        self._file.write(f'{at:9.3f} {text}\n')
        self._file.flush()


async def read_head(reader):
    """Return the first line and the headers; None at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        if name:
            headers[name.strip().lower()] = text.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get('content-length') or 0))


def encode_answer(status, headers=(), body=b'', reason='x'):
    lines = [f'HTTP/1.1 {status} {reason}']
    lines += [f'{name}: {text}' for name, text in headers]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode() + body


class Server:
    """An HTTP/1.1 server with keep-alive; handle() answers each request."""

    def __init__(self, ip='127.0.0.1', port=0):
        self.ip, self.port = ip, port
        self.writers = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=1 << 22
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f'{self.ip}:{self.port}'

    def stop_listening(self):
        if self._server is not None:
            self._server.close()
            self._server = None

    def break_connections(self, *, reset=True):
        for writer in tuple(self.writers):
            sock = writer.get_extra_info('socket')
            if writer.transport.is_closing() or sock is None:
                continue
            if reset and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            writer.transport.abort() if reset else writer.close()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(' ')
                if not await self.handle(
                    method, target, headers, body, reader, writer
                ):
                    return
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            return
        except asyncio.CancelledError:
            # The run is over.
            return
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's row store; each router may have a front of its own."""

    def __init__(self):
        self.rows = {}
        self.changes = []
        self.version = 0
        self.changed = asyncio.Event()
        self.acked = {}

    def write(self, table, key, fields, part=''):
        encoded = None
        if fields is not None:
            encoded = base64.b64encode(json.dumps(fields).encode()).decode()
        return self.apply([((table, part, key), encoded)])

    def apply(self, writes):
        self.version += 1
        now = time.monotonic()
        for key, encoded in writes:
            if encoded is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (encoded, self.version)
            self.changes.append((key, encoded, self.version, now))
        event, self.changed = self.changed, asyncio.Event()
        event.set()
        return self.version

    def read_fields(self, table, part, key):
        row = self.rows.get((table, part, key))
        return None if row is None else json.loads(base64.b64decode(row[0]))

    def oldest(self):
        limit = time.monotonic() - HISTORY_S
        dropped = 0
        while self.changes and self.changes[0][3] < limit:
            dropped = self.changes.pop(0)[2]
        self._dropped = max(getattr(self, '_dropped', 0), dropped)
        return self._dropped


class StoreFront(Server):
    """One address of the store.

    mode: '' (works), 'silent', 'busy' (503), 'reset'.
    """

    def __init__(self, store, **kwargs):
        super().__init__(**kwargs)
        self.store = store
        self.mode = ''
        self.delay = 0.004
        self.draw = lambda: 0.5

    async def handle(self, method, target, headers, body, reader, writer):
        if self.mode == 'silent':
            await asyncio.sleep(3600)
        if self.mode == 'reset':
            writer.transport.abort()
            return False
        if self.mode == 'busy':
            writer.write(encode_answer(503))
            await writer.drain()
            return True
        await asyncio.sleep(self.delay)
        path, _, query = target.partition('?')
        args = {}
        for pair in filter(None, query.split('&')):
            name, _, text = pair.partition('=')
            args[name] = _unquote(text)
        if path == '/v1/rows-get':
            status, fields = self._get(args)
        elif path == '/v1/rows-feed':
            status, fields = await self._feed(args)
        elif path == '/v1/rows-tx':
            if self.mode in {'lost', 'late'}:
                return await self._lose(json.loads(body), writer)
            status, fields = self._commit(json.loads(body))
        else:
            status, fields = 404, {}
        fields |= {
            'ver': fields.get('ver', self.store.version),
            'now_ms': round(time.monotonic() * 1000),
        }
        answer = encode_answer(
            status,
            [('Content-Type', 'application/json')],
            json.dumps(fields).encode(),
        )
        if self.mode in {'silent', 'reset'}:
            await asyncio.sleep(3600)
        writer.write(answer)
        await writer.drain()
        return True

    async def _lose(self, body, writer):
        # Done and not answered; nothing more comes on this connection.
        if self.mode == 'late':
            loop = asyncio.get_running_loop()
            loop.call_later(1 + 5 * self.draw(), self._commit, body)
        else:
            self._commit(body)
        await asyncio.sleep(3600)

    def _get(self, args):
        first, end = args.get('from', ''), args.get('to', '')
        limit = min(500, int(args.get('limit', 500)))
        rows = [
            _row(key, encoded, version)
            for key, (encoded, version) in sorted(self.store.rows.items())
            if key[:2] == (args['table'], args.get('part', ''))
            and key[2] >= first
            and (not end or key[2] < end)
        ]
        return 200, {'rows': rows[:limit], 'more_pages': len(rows) > limit}

    async def _feed(self, args):
        since, table = int(args['after_rev']), args['table']
        until = time.monotonic() + min(30, int(args['wait_ms']) / 1000)
        while True:
            if since < self.store.oldest():
                return 410, {}
            rows = [
                _row(key, encoded, version)
                for key, encoded, version, _at in self.store.changes
                if version > since and key[0] == table
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {'rows': rows}
            changed = self.store.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass

    def _commit(self, body):
        for check in body['expected_rev']:
            row = self.store.rows.get(_key(check))
            if (row[1] if row else 0) != check['ver']:
                rows = [
                    _row(_key(one), *self.store.rows[_key(one)])
                    for one in body['expected_rev']
                    if _key(one) in self.store.rows
                ]
                return 412, {'rows': rows}
        for row in (*body['writes'], *body['remove']):
            if row['table'] in {'op', 'servers'}:
                return 403, {}
        writes = [(_key(row), row['value']) for row in body['writes']]
        writes += [(_key(row), None) for row in body['remove']]
        return 200, {'ver': self.store.apply(writes)}


def _unquote(text):
    from urllib.parse import unquote_plus

    return unquote_plus(text)


def _key(fields):
    return fields['table'], fields['part'], fields['key']


def _row(key, encoded, version):
    table, part, name = key
    row = {'table': table, 'part': part, 'key': name, 'ver': version}
    if encoded is None:
        return row | {'deleted': True}
    return row | {'value': encoded}


class Worker(Server):
    """A worker that registers itself, and works on one request a connection.

    Parameters: `work_s` of a plain request; `events`, `event_s` and
    `first_s` of a stream. `poison`: paths that crash it as it begins to run
    them; it is back after `down_s`, as a new incarnation.
    """

    _numbers = itertools.count(1)

    def __init__(self, bed, service, zone, **kwargs):
        super().__init__()
        self.bed, self.service, self.zone = bed, service, zone
        self.slots = kwargs.pop('slots', 64)
        self.work_s = kwargs.pop('work_s', 0.03)
        self.events = kwargs.pop('events', 20)
        self.event_s = kwargs.pop('event_s', 0.05)
        self.first_s = kwargs.pop('first_s', 0.02)
        self.stride = kwargs.pop('stride', 6)
        self.poison = kwargs.pop('poison', frozenset())
        # Number of the event after which a stream pauses, and for how long.
        self.pauses_after = kwargs.pop('pauses_after', 0)
        self.pause_s = kwargs.pop('pause_s', 0)
        self.down_s = kwargs.pop('down_s', 3.0)
        # Seconds from the begin of such a request to the crash.
        self.crash_s = kwargs.pop('crash_s', 0.0)
        assert not kwargs, kwargs
        self.instance = ''
        self.state = 'ready'
        self.is_up = False
        self.running = 0
        self.arrivals = []
        self._beats = None

    async def up(self):
        """Start a new incarnation."""
        self.instance = f'i-{next(self._numbers):04d}{os.getpid() % 9973:04d}'
        self.state = 'ready'
        await self.start()
        self.is_up = True
        self._beats = asyncio.ensure_future(self._beat(self.instance))
        self.bed.workers_by_id[self.instance] = self
        self.bed.record.add(
            f'worker {self.instance} ({self.service}) up at {self.address}'
        )
        return self

    def crash(self):
        """Lose all connections; the address refuses new ones for a while."""
        if not self.is_up:
            return
        self.is_up = False
        self.stop_listening()
        self.break_connections(reset=True)
        gone = self.instance
        self._beats.cancel()
        self.bed.record.add(f'worker {gone} crashes')
        self.bed.spawn(self._return(gone))

    async def _return(self, gone):
        # The store drops the entry after three heartbeats of silence.
        self.bed.spawn(self._expire(gone))
        await asyncio.sleep(self.down_s)
        if not self.bed.closed:
            await self.up()

    async def _expire(self, gone):
        await asyncio.sleep(3 * BEAT_S)
        self.bed.store.write('servers', gone, None)

    async def _beat(self, instance):
        sequence = 0
        while True:
            sequence += 1
            self.list(sequence)
            await asyncio.sleep(BEAT_S)

    def list(self, sequence=0):
        fields = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_left_ms': 0,
            'sequence': sequence,
        }
        if self.service == 'llm':
            fields |= {'stage': 'both', 'models': [
                {'name': 'm', 'version': 1, 'adapters': []}]}
        # The entry changes when more than its sequence changes.
        known = self.bed.store.read_fields('servers', '', self.instance)
        if known is not None and known | {'sequence': 0} == fields | {
            'sequence': 0
        }:
            return
        self.bed.store.write('servers', self.instance, fields)

    def drain(self):
        """Report draining; return when the store has accepted it."""
        self.state = 'draining'
        self.list()
        self.bed.record.add(f'worker {self.instance} reports draining')
        return time.monotonic()

    async def handle(self, method, target, headers, body, reader, writer):
        instance = self.instance
        if target == '/health':
            ok = self.state == 'ready'
            writer.write(encode_answer(
                200 if ok else 503, [('Instance-Id', instance)]))
            await writer.drain()
            return True
        request_id = headers.get('attempt-id', '')
        expected = headers.get('expect-instance')
        arrival = {
            'at': time.monotonic(), 'id': request_id, 'path': target,
            'method': method, 'headers': headers, 'body': body,
            'instance': instance, 'ran': False, 'ended': None,
            'last_event': headers.get('last-event-id', ''),
        }
        self.arrivals.append(arrival)
        self.bed.record.add(
            f'worker {instance} gets {request_id} {method} {target}'
            f' deadline={headers.get("deadline-ms")}'
        )
        if expected and expected != instance:
            writer.write(encode_answer(421, [
                ('Instance-Id', instance), ('Attempt-Id', request_id)]))
            await writer.drain()
            return True
        if self.running >= self.slots:
            writer.write(encode_answer(503, [
                ('Not-Executed', '1'), ('Attempt-Id', request_id)]))
            await writer.drain()
            return True
        arrival['ran'] = True
        if target in self.poison:
            await asyncio.sleep(self.crash_s)
            self.crash()
            return False
        self.running += 1
        work = asyncio.ensure_future(
            self.run(method, target, headers, body, writer, arrival))
        closed = asyncio.ensure_future(reader.read(1))
        try:
            # Work on a request is dropped when its connection closes.
            await asyncio.wait(
                {work, closed}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel()
                self.bed.record.add(f'worker {instance} drops {request_id}')
                return False
            closed.cancel()
            return work.result()
        finally:
            arrival['ended'] = time.monotonic()
            self.running -= 1
            closed.cancel()
            await asyncio.gather(work, closed, return_exceptions=True)

    async def run(self, method, target, headers, body, writer, arrival):
        request_id = headers.get('attempt-id', '')
        base = [('Attempt-Id', request_id),
                ('Response-Stamp', f'{self.instance}.{request_id}')]
        if 'token-counts' not in headers:
            await asyncio.sleep(self.work_s)
            writer.write(encode_answer(
                200, base, f'done {request_id} {self.instance}\n'.encode()))
            await writer.drain()
            return True
        await asyncio.sleep(self.first_s)
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream',
                 'Transfer-Encoding: chunked']
        lines += [f'{name}: {text}' for name, text in base]
        writer.write('\r\n'.join([*lines, '', '']).encode())
        first = int(headers.get('last-event-id') or 0) + 1
        limit = int(headers['token-counts'].split(',')[1])
        count = min(self.events, limit // self.stride)
        for number in range(first, count + 1):
            event = f'id: {number}\ndata: {request_id[:8]} {number}\n\n'
            writer.write(f'{len(event):x}\r\n{event}\r\n'.encode())
            await writer.drain()
            arrival['events'] = number
            await asyncio.sleep(self.event_s)
            if number == self.pauses_after:
                self.bed.record.add(
                    f'worker {self.instance} preempts {request_id}, reads its'
                    f' prompt in again and goes on in {self.pause_s} s')
                await asyncio.sleep(self.pause_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


class Router:
    """One router process, started with the run line of the deploy file."""

    def __init__(self, bed, number, zone, ip, store):
        self.bed, self.name, self.zone, self.ip = (
            bed, f'front-{zone}-{number}', zone, ip)
        self.store = store
        self.process = None
        # Times of events that put the machine out of touch.
        self.disturbed = [float('-inf')]
        self.starts = 0

    async def start(self, timeout=20):
        path = Path(self.bed.folder) / f'{self.name}.toml'
        seeds = ','.join(
            f'"{one.ip}:{self.bed.control}"' for one in self.bed.routers[:3])
        path.write_text(_SETTINGS.format(
            name=self.name, ip=self.ip, zone=self.zone, seeds=seeds,
            first='true' if not self.starts else 'false',
            front=self.bed.front, ready=self.bed.ready,
            control=self.bed.control, first_port=self.bed.first_port,
            last_port=self.bed.first_port + 3, store=self.store.address))
        deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text())
        words = shlex.split(deploy['roles']['router']['run'])
        env = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG')
               if name in os.environ}
        env['BALSAMREACH_BOOT'] = str(path)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        self.starts += 1
        log = open(Path(self.bed.folder) / f'{self.name}.log', 'ab')
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, stdout=log, stderr=log)
        log.close()
        ends = time.monotonic() + timeout
        while time.monotonic() < ends:
            if await self.is_ready():
                self.disturb('is ready')
                return True
            await asyncio.sleep(0.05)
        return False

    def disturb(self, why):
        self.disturbed.append(time.monotonic())
        self.bed.record.add(f'router {self.name} {why}')

    def in_touch(self, at):
        """Whether nothing was done to it in the stable window before."""
        return not any(at - STABLE_S < one <= at for one in self.disturbed)

    async def terminate(self, grace=8):
        self.disturb('gets SIGTERM')
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), grace)
        except TimeoutError:
            self.disturb('gets SIGKILL after grace_s')
            self.process.kill()
            await self.process.wait()
        self.disturb('has ended')

    async def kill(self):
        self.disturb('gets SIGKILL')
        self.process.kill()
        await self.process.wait()

    def freeze(self):
        self.disturb('is stopped (SIGSTOP)')
        self.process.send_signal(signal.SIGSTOP)

    def wake(self):
        self.disturb('goes on (SIGCONT)')
        self.process.send_signal(signal.SIGCONT)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.bed.ready), 1)
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
        return b' 200 ' in line

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Answer:
    """What a client got: status 0 if the connection closed before."""

    def __init__(self):
        self.status, self.headers, self.body = 0, {}, b''
        self.complete = False
        self.sent_at = self.ended_at = time.monotonic()


class Bed:
    """Store, workers, routers and clients of one run."""

    _beds = itertools.count()

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.store = Store()
        self.routers, self.workers, self.fronts = [], [], []
        self.workers_by_id = {}
        self.closed = False
        self._tasks = set()
        self._directory = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = self._directory.name
        self._ids = itertools.count(1)
        pid = os.getpid()
        self.net = f'127.{20 + pid % 200}.{pid // 200 % 250 + 1}'
        self.front, self.ready, self.control, self.first_port = (
            self._free_ports())
        self.version = 5

    def _free_ports(self):
        for base in range(20100 + os.getpid() % 50 * 100, 60000, 100):
            ports = (base, base + 1, base + 2, base + 10)
            if all(self._is_free(port) for port in (
                    *ports, base + 11, base + 12, base + 13)):
                return ports
        raise OSError('no free ports')

    def _is_free(self, port):
        with socket.socket() as sock:
            try:
                sock.bind((f'{self.net}.1', port))
            except OSError:
                return False
        return True

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def add_front(self):
        front = await StoreFront(self.store).start()
        self.fronts.append(front)
        return front

    async def add_router(self, zone, front=None):
        if front is None:
            front = self.fronts[0] if self.fronts else await self.add_front()
        number = len(self.routers) + 1
        router = Router(self, number, zone, f'{self.net}.{number}', front)
        self.routers.append(router)
        return router

    async def add_worker(self, service, zone, **kwargs):
        worker = await Worker(self, service, zone, **kwargs).up()
        self.workers.append(worker)
        return worker

    async def start_routers(self):
        ready = await asyncio.gather(*(one.start() for one in self.routers))
        if not all(ready):
            raise OSError('a router is not ready')

    def configure(self, **changes):
        self.version += 2
        config = {
            'version': self.version,
            'routes': [
                make_route('plan', 'streaming', 'llm', 12000, 600, 2,
                       stream_resume=True),
                make_route('chat', 'streaming', 'llm', 12000, 500, 1,
                       stream_resume=False),
                make_route('book', 'non_idempotent', 'desk', 4000, 300, 1),
                make_route('slot', 'idempotent', 'desk', 4000, 300, 2),
            ],
            'services': [
                {'name': 'llm', 'health_path': '/health', 'max_conns': 370,
                 'protocol': 'h1', 'tls': False,
                 'engine': {'slots': 64, 'kv_capacity': 800109,
                            'kv_token_bytes': 327680,
                            'link_mbps': 550000.0, 'moves': True,
                            'backups': True, 'stride': 6, 'most': 12,
                            'pin_ms': 4000.0, 'hold_ms': 2000.0,
                            'handle_s': 5.0, 'models': [{'name': 'm'}]}},
                {'name': 'desk', 'health_path': '/health', 'max_conns': 110,
                 'protocol': 'h1', 'tls': False},
            ],
            'limits': {'max_header_bytes': 16384, 'max_body_bytes': 4194304,
                       'header_timeout_ms': 3000, 'idle_timeout_ms': 15000},
            'tenants': [{'name': TEAM, 'api_keys': [KEY], 'priority': 1,
                         'prepaid': 50_000_000}],
        } | changes
        self.store.write('op', 'config', config)
        self.record.add(f'configuration {self.version} is acknowledged')
        return config

    def new_id(self):
        return f'{os.getpid() % 65536:04x}{next(self._ids):012x}'

    async def connect(self, router):
        """Open a connection, which `send` may use later."""
        return await asyncio.open_connection(
            router.ip, self.front, limit=1 << 22)

    async def send(self, router, method, path, *, request_id=None,
                   deadline_ms=4000, headers=(), body=b'', timeout=None,
                   on_chunk=None, streams=None):
        """Send one request and return the Answer.

        It is sent on a new connection, which is closed after it, if `streams`
        gives none.
        """
        request_id = request_id or self.new_id()
        answer = Answer()
        answer.request_id, answer.router = request_id, router
        lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}',
                 f'Attempt-Id: {request_id}', f'Deadline-Ms: {deadline_ms}',
                 f'Authorization: Bearer {KEY}']
        lines += [f'{name}: {text}' for name, text in headers]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        request = '\r\n'.join([*lines, '', '']).encode() + body
        self.record.add(
            f'client sends {request_id} {method} {path} to {router.name}')
        limit = timeout or deadline_ms / 1000 + 1
        try:
            async with asyncio.timeout(limit):
                if streams is None:
                    streams = await self.connect(router)
                await self._exchange(streams, request, answer, on_chunk)
        except TimeoutError:
            answer.body += b''
            answer.timed_out = True
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        answer.ended_at = time.monotonic()
        self.record.add(
            f'client got {request_id}: {answer.status}'
            f' {"complete" if answer.complete else "incomplete"}'
            f' {answer.body[:70]!r}')
        return answer

    async def _exchange(self, streams, request, answer, on_chunk):
        reader, writer = streams
        try:
            writer.write(request)
            await writer.drain()
            answer.sent_at = time.monotonic()
            head = await read_head(reader)
            if head is None:
                return
            answer.status = int(head[0].split(' ')[1])
            answer.headers = head[1]
            if 'chunked' in head[1].get('transfer-encoding', ''):
                while True:
                    size = int((await reader.readline()), 16)
                    chunk = await reader.readexactly(size + 2)
                    if not size:
                        break
                    answer.body += chunk[:-2]
                    if on_chunk is not None:
                        on_chunk(answer)
            else:
                length = int(head[1].get('content-length') or 0)
                answer.body = await reader.readexactly(length)
            answer.complete = True
        finally:
            writer.close()

    async def close(self):
        self.closed = True
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*(one.stop() for one in self.routers))
        for worker in self.workers:
            worker.stop_listening()
            if worker._beats is not None:
                worker._beats.cancel()
            worker.break_connections()
        for front in self.fronts:
            front.stop_listening()
            front.break_connections()
        if os.environ.get('KEEP_LOGS'):
            import shutil

            shutil.copytree(
                self.folder, os.environ['KEEP_LOGS'], dirs_exist_ok=True)
        self._directory.cleanup()


def make_route(name, kind, service, timeout_ms, aim_ms, attempts, **more):
    return {
        'name': f'r-{name}', 'host': HOST, 'prefix': f'/{name}/',
        'route_type': kind, 'timeout_ms': timeout_ms,
        'target_latency_ms': aim_ms, 'priority': 2, 'service': service,
        'max_attempts': attempts, 'public_access': False,
        'session_affinity': kind == 'streaming',
    } | ({'gap_aim_ms': 250} if kind == 'streaming' else {}) | more


def is_troubled():
    """Whether the run includes the disruption (TROUBLE=0: it doesn't)."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(play, folder):
    """Play a case; exit with 1 if the rule broke, 0 if not, 2 if it can't run."""

    async def run():
        bed = Bed(Path(folder) / 'record.txt')
        try:
            async with asyncio.timeout(115):
                return await play(bed)
        finally:
            await bed.close()

    try:
        broken = asyncio.run(run())
    except Exception as exc:  # The case could not run.
        print(f'could not run: {type(exc).__name__}: {exc}')
        return 2
    return 1 if broken else 0
