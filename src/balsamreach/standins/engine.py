"""Stand-in model engine: batches, cache, orders and ways of failing."""

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
    """State of a running stand-in engine, whoever speaks HTTP for it.

    Parameters
    ----------
    cfg : EngineSettings
        Settings; may be changed while it runs.
    clock : Clock
        Source of all its delays.
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
    #: What has to be dropped when it crashes.
    connections: set[Any] = attrs.Factory(set)
    audible: asyncio.Event = attrs.Factory(asyncio.Event)
    _rng: random.Random = attrs.field(init=False)
    _load_at: float = float('-inf')
    _load: dict[str, Any] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Size the parts after the settings."""
        self.cache = PrefixCache(
            self.cfg.cache_blocks,
            self.clock.now,
            self._loses_event,
        )
        self.slots = Slots(self.cfg.slots, self.cfg.queue_limit)
        self.orders = OrderBook(self.cfg)
        self.generations = Generations(self.clock, self.counters)
        self._rng = random.Random(self.cfg.seed)
        self.set_silent(silent=self.cfg.silent)

    def fails(self) -> bool:
        """Draw whether this request is one of those answered 500."""
        return self._rng.random() < self.cfg.fail_share

    def cache_events(self, since: int) -> dict[str, Any]:
        """Return the cache events that are old enough to be told."""
        until = self.clock.now() - self.cfg.events_lag_s
        return self.cache.events(since, until)

    def start(self, generation: Generation) -> None:
        """Run a generation in a task of its own."""
        self.generations.add(generation)
        generation.task = asyncio.create_task(self._run(generation))

    def crash(self) -> None:
        """Drop all connections and work; refuse everything from now on."""
        if self.cfg.exit_on_crash:
            # A crash runs no clean-up, so neither does this.
            os._exit(CRASH_EXIT_CODE)
        self.drop_all()

    def drop_all(self) -> None:
        """Drop all connections and work, and hold what was cached no more."""
        self.crashed = True
        self.generations.clear()
        for connection in tuple(self.connections):
            connection.drop()
        self.cache.clear()

    def set_silent(self, *, silent: bool) -> None:
        """Stop or go on sending on every connection."""
        self.cfg.silent = silent
        if silent:
            self.audible.clear()
        else:
            self.audible.set()

    def load(self) -> dict[str, Any]:
        """Return the load report, as old as the lag allows."""
        now = self.clock.now()
        if now - self._load_at >= self.cfg.load_lag_s:
            self._load = self._measured()
            self._load_at = now
        return self._load | {'age_s': now - self._load_at}

    async def _run(self, generation: Generation) -> None:
        async with self.slots.held(generation.priority):
            await self._generate(generation)

    async def _generate(self, generation: Generation) -> None:
        blocks = blocks_of(cached_text_of(generation.body))
        fresh = len(blocks) - self.cache.use(blocks)
        self.counters['blocks_computed'] += fresh
        self.counters['blocks_cached'] += len(blocks) - fresh
        first_ms = self.cfg.first_ms + fresh * self.cfg.block_ms
        await self.clock.sleep(first_ms / 1000)
        words, reason = reply_to(generation.body, generation.prompt)
        generation.begin()
        for index, word in enumerate(words):
            if index:
                await self.clock.sleep(self.cfg.pace_ms / 1000)
            generation.say(word)
        generation.finish(reason)
        self.counters['finished'] += 1

    def _loses_event(self) -> bool:
        share = self.cfg.events_lost
        return share > 0 and self._rng.random() < share

    def _measured(self) -> dict[str, Any]:
        return {
            'running': self.slots.running,
            'queued': self.slots.queued,
            'slots': self.cfg.slots,
            'cached_blocks': len(self.cache),
            'incarnation': self.cfg.incarnation,
            'leaving': self.cfg.leaving,
            'models': list(self.cfg.models),
        }
