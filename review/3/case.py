"""A second answer arrives late at an engine's kept connection."""

import asyncio
import itertools
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig

#: Seconds for which a worker may still work on a request that goes on at
#: another one.
ALLOWED_S = 0.4
#: Share of the answers that are sent a second time; the largest dose of
#: `garble` with `extra late` is 0.03.
SHARE = 0.06
CLIENTS = 10
REQUESTS = 45


class Engines:
    """Engines whose answers may be repeated late."""

    def __init__(self, record, has_trouble):
        self.record = record
        self.has_trouble = has_trouble
        self.last = {}
        self.repeated = 0
        self.endings = Counter()

    async def answer(self, worker, run, headers, body, writer):
        # The late answer is written where the next one is expected: before
        # that of the request that has just arrived on the same connection.
        late = self.last.pop(writer, None)
        if late is not None and self.has_trouble and random.random() < SHARE:
            self.repeated += 1
            self.record(f'worker {worker.target_id} sends its answer to '
                        f'{late[0]} a second time')
            writer.write(late[1])
            await writer.drain()
        sent = bytearray()
        await rig.stream_tokens(
            worker, run, headers, body, Copy(writer, sent)
        )
        self.last[writer] = run.request_id, bytes(sent)


    def check(self, request_id, answer):
        """Count the answers by how they ended; look for foreign events."""
        ending = f'{answer.status}, {"whole" if answer.whole else "cut"}'
        if answer.status == 200:
            events = [
                line for line in answer.body.decode().split('\n')
                if line.startswith('data:')
            ]
            if not all(request_id in event for event in events):
                ending += ', with foreign events'
        self.endings[ending] += 1


class Copy:
    """A writer that keeps what is written."""

    def __init__(self, writer, sent):
        self._writer, self._sent = writer, sent

    def write(self, data):
        self._sent += data
        self._writer.write(data)

    async def drain(self):
        await self._writer.drain()


async def case(fleet, has_trouble):
    engines = Engines(fleet.record, has_trouble)
    fleet.workers = [
        rig.Worker(fleet.store, fleet.record, fleet.runs, 'huvo11a', zone,
                   engines.answer, slots=64)
        for zone in fleet.ZONES
    ]
    config = rig.config(
        [{'name': 'huvo11a', **rig.PLAIN_SERVICE, 'engine': rig.ENGINE}],
        [
            rig.route(
                'r-plan', '/plan/', 'huvo11a', 'streaming', timeout_ms=12000,
                target_latency_ms=600, gap_aim_ms=250, session_affinity=True,
                stream_resume=True, max_attempts=2, priority=0,
            ),
        ],
    )
    await fleet.start(2, config)
    await asyncio.sleep(rig.STABLE_S + 1)

    async def client(router, number):
        for _ in range(REQUESTS):
            request_id = rig.attempt_id()
            answer = await rig.ask(
                fleet.record, router, 'POST', '/plan/1', fleet.key(number),
                12000, random.randbytes(1500).hex().encode(),
                rig.prompt_headers(6610, 240, random.getrandbits(32)),
                request_id=request_id,
            )
            engines.check(request_id, answer)
            await asyncio.sleep(random.uniform(0.05, 0.3))

    await asyncio.gather(*(
        client(router, number)
        for number, router in enumerate(fleet.routers * (CLIENTS // 2))
    ))
    await asyncio.sleep(1)

    breaks = []
    by_request = {}
    for run in fleet.runs:
        by_request.setdefault(run.request_id, []).append(run)
    for request_id, runs in by_request.items():
        for one, other in itertools.combinations(runs, 2):
            if one.worker == other.worker:
                continue
            over = min(one.ended, other.ended) - max(one.began, other.began)
            if over > ALLOWED_S:
                breaks.append(
                    f'TWICE: {one.worker} and {other.worker} both work on '
                    f'{request_id}, for {over * 1000:.0f} ms at the same time'
                )
    fleet.record(f'{engines.repeated} answers were sent a second time')
    fleet.record(f'what clients got: {dict(engines.endings)}')
    return breaks


rig.main(FOLDER, case)
