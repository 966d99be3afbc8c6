"""Puts a router together that speaks to the users' platform."""

import random
from functools import partial

from balsamreach.catalogue.exchange import CatalogueExchange
from balsamreach.catalogue.known import Known
from balsamreach.clock import SystemClock
from balsamreach.config.settings import Settings
from balsamreach.daemon.relay_parts import RelayParts, make_relay_parts
from balsamreach.daemon.relay_router import RelayRouter
from balsamreach.platform.configuration import CatalogueReader
from balsamreach.platform.feed import FeedParts
from balsamreach.platform.feeds import ConfigurationFeed, TargetsFeed
from balsamreach.platform.hosts import RouterList
from balsamreach.platform.pages import PageSharing
from balsamreach.platform.requests import PlatformCodec
from balsamreach.platform.rows import RowStore
from balsamreach.platform.table import RowTableService
from balsamreach.services.http import PlatformClient
from balsamreach.services.outside import Outside
from balsamreach.services.times import ServiceClock

#: Where the platform's balancer asks.
_READY_PATH = '/v1/ready'
#: Seconds that a call may wait for news. Each ends soon even where there is
#: none, so that a connection that went silent is noticed in time for changes
#: that must be in force within seconds.
_FOLLOW_WAIT_S = 0.6
#: Seconds beyond that wait in which the answer must come; a slow store
#: answers in a quarter of one.
_ANSWER_S = 0.5
#: Seconds in which a store that was away must accept a connection, and answer
#: a question. A slow one answers in a quarter of a second.
_PROBE_CONNECT_S = 0.25
_PROBE_S = 0.6
#: Seconds in which the answer to a change must come. Requests wait for some
#: of them; a slow store answers within half of this.
_CHANGE_S = 0.8


def make_router(cfg: Settings) -> RelayRouter:
    """Make a router; nothing is started or sent yet."""
    clock = SystemClock()
    times = ServiceClock(clock)
    changes = _make_store(cfg, _CHANGE_S, times)
    hosts = RouterList(changes, clock)
    parts = make_relay_parts(
        cfg,
        PlatformCodec(random.Random()),
        Outside(RowTableService(changes), hosts, times),
    )
    exchange = _make_exchange(parts)
    configuration, targets = _make_feeds(
        cfg,
        parts,
        exchange,
        times,
    )
    parts.holdings.book.is_away = configuration.feed.is_away
    parts.currency.source = configuration.feed
    parts.run.tries.notices.tell = exchange.tell_target
    address = f'{cfg.peers.address}:{cfg.peers.port}'
    return RelayRouter(
        parts,
        _READY_PATH,
        (
            configuration.feed.run,
            targets.feed.run,
            partial(hosts.enter, address, cfg.host.zone),
        ),
        (targets.expire, exchange.catch_up),
    )


def _make_exchange(parts: RelayParts) -> CatalogueExchange:
    known = Known(
        parts.view,
        parts.places,
        parts.chooser.evacuations,
        CatalogueReader().decode,
        parts.metrics,
    )
    exchange = CatalogueExchange(parts.net, known, parts.clock)
    exchange.start()
    parts.net.greeter.orders = parts.chooser.evacuations.digest
    return exchange


def _make_feeds(
    cfg: Settings,
    parts: RelayParts,
    exchange: CatalogueExchange,
    times: ServiceClock,
) -> tuple[ConfigurationFeed, TargetsFeed]:
    pages = PageSharing(parts.net, parts.clock)
    pages.start()
    feeds = FeedParts(
        store=_make_store(cfg, _FOLLOW_WAIT_S + _ANSWER_S, times),
        probe=_make_probe(cfg, times),
        clock=parts.clock,
        metrics=parts.metrics,
        pages=pages,
    )
    configuration = ConfigurationFeed(
        parts.view,
        parts.chooser.evacuations,
        exchange.tell_evacuation,
    )
    configuration.open(feeds)
    targets = TargetsFeed(
        parts.places,
        parts.clock,
        exchange.tell_target,
        exchange.tell_gone,
    )
    targets.open(feeds)
    return configuration, targets


def _make_store(
    cfg: Settings,
    timeout: float,
    times: ServiceClock,
) -> RowStore:
    client = PlatformClient(
        cfg.platform.table,
        cfg.platform.connect_timeout,
        timeout,
    )
    return RowStore(client, _FOLLOW_WAIT_S, times)


def _make_probe(cfg: Settings, times: ServiceClock) -> RowStore:
    client = PlatformClient(cfg.platform.table, _PROBE_CONNECT_S, _PROBE_S)
    return RowStore(client, 0, times)
