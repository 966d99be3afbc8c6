"""Assembles a router that runs on the users' platform."""

import random
from functools import partial

from balsamreach.catalogue.exchange import CatalogueExchange
from balsamreach.catalogue.router_state import RouterState
from balsamreach.clock import SystemClock
from balsamreach.config.settings import Settings
from balsamreach.daemon.relay_parts import RelayParts, make_relay_parts
from balsamreach.daemon.relay_router import RelayRouter
from balsamreach.platform.configuration import CatalogueReader
from balsamreach.platform.feed import FeedParts
from balsamreach.platform.feed_confirmation import FeedConfirmation
from balsamreach.platform.feeds import ConfigurationFeed, TargetsFeed
from balsamreach.platform.pages import PageSharing
from balsamreach.platform.release_rows import ReleaseRows
from balsamreach.platform.requests import PlatformCodec
from balsamreach.platform.router_list import RouterList
from balsamreach.platform.row_store import RowStore
from balsamreach.platform.row_table import RowTableService
from balsamreach.services.http import PlatformClient
from balsamreach.services.outside import Outside
from balsamreach.services.times import ServiceClock

#: Path of the readiness check of the platform's load balancer.
_READY_PATH = '/v1/ready'
#: Seconds that a long poll waits for changes. Each poll ends soon even without
#: changes, so that a dead connection is noticed in time: changes must be in
#: force within seconds.
_FOLLOW_WAIT_S = 0.6
#: Seconds that the answer may take beyond that wait; a slow store answers
#: within 0.25 s.
_RESPONSE_TIMEOUT_S = 0.5
#: Timeouts in seconds for connecting to and for calling a store that was
#: unreachable. A slow store answers within 0.25 s.
_PROBE_CONNECT_TIMEOUT_S = 0.25
_PROBE_TIMEOUT_S = 0.6
#: Timeout in seconds for writes, some of which hold up requests. A slow store
#: answers within half of this time.
_CHANGE_TIMEOUT_S = 0.8


def make_router(cfg: Settings) -> RelayRouter:
    """Create a router without starting it or sending anything."""
    clock = SystemClock()
    times = ServiceClock(clock)
    store = _make_store(cfg, _CHANGE_TIMEOUT_S, times)
    hosts = RouterList(store, clock)
    parts = make_relay_parts(
        cfg,
        PlatformCodec(random.Random()),
        Outside(RowTableService(store), hosts, times, ReleaseRows(store)),
    )
    exchange = _make_exchange(parts)
    configuration, targets = _make_feeds(
        cfg,
        parts,
        exchange,
        times,
    )
    parts.holdings.book.is_away = configuration.feed.is_unavailable
    parts.freshness_check.source = configuration.feed
    parts.places.releases.is_current = targets.feed.is_current
    parts.places.releases.confirm = FeedConfirmation(
        targets.feed, targets.feed.parts.pages, clock
    ).confirm
    parts.run.attempt_parts.notices.tell = exchange.send_target
    address = f'{cfg.peers.address}:{cfg.peers.port}'
    return RelayRouter(
        parts,
        _READY_PATH,
        (
            configuration.feed.run,
            targets.feed.run,
            parts.run.releases.history.run,
            partial(hosts.register, address, cfg.host.zone),
        ),
        (
            targets.remove_expired,
            exchange.send_leaving_targets,
            parts.run.releases.run_round,
            parts.run.quarantine.parts.run_round,
        ),
    )


def _make_exchange(parts: RelayParts) -> CatalogueExchange:
    known = RouterState(
        parts.view,
        parts.places,
        parts.chooser.evacuations,
        CatalogueReader().decode,
        parts.metrics,
    )
    exchange = CatalogueExchange(parts.net, known, parts.clock)
    exchange.start()
    parts.net.local_status.evacuations_digest = parts.chooser.evacuations.digest
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
        store=_make_store(cfg, _FOLLOW_WAIT_S + _RESPONSE_TIMEOUT_S, times),
        probe=_make_probe(cfg, times),
        clock=parts.clock,
        metrics=parts.metrics,
        pages=pages,
    )
    configuration = ConfigurationFeed(
        parts.view,
        parts.chooser.evacuations,
        exchange.send_evacuation,
    )
    configuration.create_feed(feeds)
    targets = TargetsFeed(
        parts.places,
        parts.clock,
        exchange.send_target,
        exchange.send_removed_target,
    )
    targets.create_feed(feeds)
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
    client = PlatformClient(
        cfg.platform.table, _PROBE_CONNECT_TIMEOUT_S, _PROBE_TIMEOUT_S
    )
    return RowStore(client, 0, times)
