"""Measure CPU per message and memory per member and link of ``peers``.

Both ends of a link run in one process, so the CPU time is that of both ends
together. Prints one JSON line.
"""

import asyncio
import gc
import json
import random
import socket
import sys
import time
import tracemalloc

from tornado.iostream import IOStream

from balsamreach.clock import SystemClock
from balsamreach.config.reader import read_settings
from balsamreach.config.settings import Settings
from balsamreach.peers.handlers import HandlerRegistry
from balsamreach.peers.link import Link, LinkContext
from balsamreach.peers.membership import Membership
from balsamreach.peers.peer_counters import PeerCounters
from balsamreach.telemetry.metrics import Metrics
from balsamreach.wire.base import Message
from balsamreach.wire.marks import InFlight, InFlightAsk
from balsamreach.wire.membership import Member
from balsamreach.wire.runs import RunNote

_MEMBERS = 910
_LINKS = 100
_ONE_WAY_MESSAGES = 20000
_REQUESTS = 5000
_BATCH = 500
_MICROSECONDS = 1_000_000
_NOTE = RunNote('team', 'key-1', 'f' * 64, 'a' * 32, '10.0.0.1:8080')


class CountingHandlers:
    """Message handlers that count messages."""

    def __init__(self):
        self.count = 0
        self.batch_done = asyncio.Event()

    async def answer(self, _: Member, message: Message) -> Message:
        """Answer a request."""
        return InFlight('engine-0', 1)

    async def take(self, _: Member, message: Message) -> None:
        """Count a one-way message."""
        self.count += 1
        if self.count % _BATCH == 0:
            self.batch_done.set()


def make_member(number: int, rng: random.Random) -> Member:
    """Return a member that shares no strings with others."""
    return Member(
        incarnation=f'{rng.getrandbits(128):032x}',
        host=f'router-{number}',
        address=f'10.0.{number // 250}.{number % 250}:8082',
        zone=f'zone-{number % 27:02}',
        started=float(number),
    )


def measure_members() -> float:
    """Return the bytes that a member takes in a membership list."""
    rng = random.Random(1)
    tracemalloc.start()
    membership = Membership(make_member(0, rng), SystemClock())
    before, _ = tracemalloc.get_traced_memory()
    for number in range(1, _MEMBERS):
        membership.merge(make_member(number, rng))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / _MEMBERS


def make_links(cfg: Settings, handlers: CountingHandlers) -> tuple[Link, Link]:
    """Return both ends of a link over a socket pair."""
    registry = HandlerRegistry()
    registry.on(InFlightAsk, handlers.answer)
    registry.on(RunNote, handlers.take)
    context = LinkContext(
        cfg=cfg.peers,
        clock=SystemClock(),
        counters=PeerCounters(Metrics()),
        handle=registry.handle,
    )
    near, far = socket.socketpair()
    peer = make_member(1, random.Random(1))
    return (
        Link(context, IOStream(near), peer, dialled=True),
        Link(context, IOStream(far), peer, dialled=False),
    )


async def measure_link_memory(cfg: Settings) -> float:
    """Return the bytes that each end of a running link takes."""
    handlers = CountingHandlers()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    pairs = [make_links(cfg, handlers) for _ in range(_LINKS)]
    tasks = [asyncio.create_task(link.run()) for pair in pairs for link in pair]
    await asyncio.sleep(cfg.peers.heartbeat)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return (after - before) / len(tasks)


async def measure_messages(cfg: Settings) -> tuple[float, float]:
    """Return CPU seconds per one-way message and per request and answer."""
    handlers = CountingHandlers()
    near, far = make_links(cfg, handlers)
    tasks = [asyncio.create_task(link.run()) for link in (near, far)]
    started = time.process_time()
    for _ in range(_ONE_WAY_MESSAGES // _BATCH):
        for _ in range(_BATCH):
            near.tell(_NOTE)
        await handlers.batch_done.wait()
        handlers.batch_done.clear()
    told = time.process_time()
    for _ in range(_REQUESTS):
        await near.ask(InFlightAsk('engine-0'))
    asked = time.process_time()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return (told - started) / _ONE_WAY_MESSAGES, (asked - told) / _REQUESTS


async def run() -> dict[str, float]:
    """Run all measurements and return the report."""
    cfg = read_settings(None, ('host.zone=zone-a',))
    assert isinstance(cfg, Settings), cfg
    tell, ask = await measure_messages(cfg)
    return {
        'cpu_us_per_told_message_both_ends': round(tell * _MICROSECONDS, 1),
        'cpu_us_per_ask_and_answer_both_ends': round(ask * _MICROSECONDS, 1),
        'bytes_per_member': round(measure_members()),
        'bytes_per_link_end': round(await measure_link_memory(cfg)),
    }


if __name__ == '__main__':
    report = json.dumps(asyncio.run(run()))
    sys.stdout.write(f'{report}\n')
