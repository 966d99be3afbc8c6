"""Puts a router together that speaks to the users' platform."""

import random

from balsamreach.config.settings import Settings
from balsamreach.daemon.relay_parts import make_relay_parts
from balsamreach.daemon.relay_router import RelayRouter
from balsamreach.platform.feeds import ConfigurationFeed, TargetsFeed
from balsamreach.platform.requests import PlatformCodec
from balsamreach.platform.rows import RowStore
from balsamreach.platform.table import RowTableService
from balsamreach.services.http import PlatformClient

#: Where the platform's balancer asks.
_READY_PATH = '/v1/ready'
#: Seconds that a call may wait for news. Each ends soon even where there is
#: none, so that a connection that went silent is noticed in time for changes
#: that must be in force within seconds.
_FOLLOW_WAIT_S = 0.6
#: Seconds beyond that wait in which the answer must come; a slow store
#: answers in a quarter of one.
_ANSWER_S = 0.5
_CHANGE_S = 2.0


def make_router(cfg: Settings) -> RelayRouter:
    """Make a router; nothing is started or sent yet."""
    changes = _make_store(cfg, _CHANGE_S)
    follows = _make_store(cfg, _FOLLOW_WAIT_S + _ANSWER_S)
    codec = PlatformCodec(random.Random())
    parts = make_relay_parts(cfg, codec, RowTableService(changes))
    configuration = ConfigurationFeed(parts.view)
    targets = TargetsFeed(
        parts.places,
        parts.clock,
        parts.chooser.engines.forget,
    )
    return RelayRouter(
        parts,
        _READY_PATH,
        (
            configuration.open(follows, parts.clock, parts.metrics).run,
            targets.open(follows, parts.metrics).run,
        ),
        targets.expire,
    )


def _make_store(cfg: Settings, timeout: float) -> RowStore:
    client = PlatformClient(
        cfg.platform.table,
        cfg.platform.connect_timeout,
        timeout,
    )
    return RowStore(client, _FOLLOW_WAIT_S)
