"""Simulated model engine with slots, prefix cache, orders and faults."""

import asyncio
import collections
import os
import random
from typing import Any

import attrs

from balsamreach.clock import Clock
from balsamreach.standins.engine_cache import PrefixCache, blocks_of
from balsamreach.standins.engine_generations import Generations
from balsamreach.standins.engine_orders import OrderBook
from balsamreach.standins.engine_settings import EngineSettings
from balsamreach.standins.engine_slots import Slots
from balsamreach.standins.engine_streams import Generation
from balsamreach.standins.engine_text import cached_text_of, reply_to

CRASH_EXIT_CODE = 70


@attrs.define(eq=False)
class Engine:
    """State of a simulated engine, independent of its HTTP interface.

    Parameters
    ----------
    cfg : EngineSettings
        Settings; may be changed while the engine runs.
    clock : Clock
        Clock for all delays.
    """

    cfg: EngineSettings
    clock: Clock
    crashed: bool = False
    runs: collections.Counter[str] = attrs.Factory(collections.Counter)
    counters: collections.Counter[str] = attrs.Factory(collections.Counter)
    cache: PrefixCache = attrs.field(init=False)
    slots: Slots = attrs.field(init=False)
    orders: OrderBook = attrs.field(init=False)
    generations: Generations = attrs.field(init=False)
    #: Open requests, whose connections a crash drops.
    connections: set[Any] = attrs.Factory(set)
    responsive: asyncio.Event = attrs.Factory(asyncio.Event)
    _rng: random.Random = attrs.field(init=False)
    _load_at: float = float('-inf')
    _load: dict[str, Any] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Create the components from the settings."""
        self.cache = PrefixCache(
            self.cfg.cache_blocks,
            self.clock.now,
            self._draw_event_loss,
        )
        self.slots = Slots(self.cfg.slots, self.cfg.queue_limit)
        self.orders = OrderBook(self.cfg)
        self.generations = Generations(self.clock, self.counters)
        self._rng = random.Random(self.cfg.seed)
        self.set_silent(silent=self.cfg.silent)

    def draw_failure(self) -> bool:
        """Return at random whether this request is answered with 500."""
        return self._rng.random() < self.cfg.fail_share

    def cache_events(self, since: int) -> dict[str, Any]:
        """Return the cache events that are at least ``events_lag_s`` old."""
        until = self.clock.now() - self.cfg.events_lag_s
        return self.cache.events(since, until)

    def start(self, generation: Generation) -> None:
        """Run a generation in its own task."""
        self.generations.add(generation)
        generation.task = asyncio.create_task(self._run(generation))

    def crash(self) -> None:
        """Drop all connections and generations; refuse further requests."""
        if self.cfg.exit_on_crash:
            # A real crash runs no clean-up code either.
            os._exit(CRASH_EXIT_CODE)
        self.drop_all()

    def drop_all(self) -> None:
        """Drop all connections and generations and clear the cache."""
        self.crashed = True
        self.generations.clear()
        for connection in tuple(self.connections):
            connection.drop()
        self.cache.clear()

    def set_silent(self, *, silent: bool) -> None:
        """Stop or resume sending on every connection."""
        self.cfg.silent = silent
        if silent:
            self.responsive.clear()
        else:
            self.responsive.set()

    def load(self) -> dict[str, Any]:
        """Return the load report, which is up to ``load_lag_s`` old."""
        now = self.clock.now()
        if now - self._load_at >= self.cfg.load_lag_s:
            self._load = self._current_load()
            self._load_at = now
        return self._load | {'age_s': now - self._load_at}

    async def _run(self, generation: Generation) -> None:
        async with self.slots.occupy(generation.priority):
            await self._generate(generation)

    async def _generate(self, generation: Generation) -> None:
        blocks = blocks_of(cached_text_of(generation.body))
        fresh = len(blocks) - self.cache.use(blocks)
        self.counters['blocks_computed'] += fresh
        self.counters['blocks_cached'] += len(blocks) - fresh
        first_ms = self.cfg.first_ms + fresh * self.cfg.block_ms
        await self.clock.sleep(first_ms / 1000)
        words, reason = reply_to(generation.body, generation.prompt)
        generation.add_first_event()
        for index, word in enumerate(words):
            if index:
                await self.clock.sleep(self.cfg.pace_ms / 1000)
            generation.add_word(word)
        generation.finish(reason)
        self.counters['finished'] += 1

    def _draw_event_loss(self) -> bool:
        share = self.cfg.events_lost
        return share > 0 and self._rng.random() < share

    def _current_load(self) -> dict[str, Any]:
        return {
            'running': self.slots.running,
            'queued': self.slots.queued,
            'slots': self.cfg.slots,
            'cached_blocks': len(self.cache),
            'incarnation': self.cfg.incarnation,
            'leaving': self.cfg.leaving,
            'models': list(self.cfg.models),
        }
