"""Creates the components that follow, edit and report on the table."""

import random

import attrs

from balsamreach.clock import Clock
from balsamreach.config.settings import Settings
from balsamreach.peers.base import PeerNet
from balsamreach.services.base import ObjectStore, TableService
from balsamreach.table.editor import Editor
from balsamreach.table.exchange import TableExchange
from balsamreach.table.follower import TableFollower
from balsamreach.table.pruning import Pruner
from balsamreach.table.reader import TableReader
from balsamreach.table.snapshots import Snapshots
from balsamreach.table.status import TableStatus
from balsamreach.table.view import TableView
from balsamreach.telemetry.metrics import Metrics


@attrs.frozen(kw_only=True)
class TableNeeds:
    """Dependencies of the table components."""

    cfg: Settings
    service: TableService
    objects: ObjectStore
    net: PeerNet
    clock: Clock
    rng: random.Random
    metrics: Metrics


@attrs.frozen(kw_only=True)
class TableParts:
    """The components of a router that handle the table."""

    view: TableView
    follower: TableFollower
    editor: Editor
    status: TableStatus


def make_table_parts(deps: TableNeeds) -> TableParts:
    """Create the table components, without starting them."""
    view = TableView()
    follower = TableFollower(
        cfg=deps.cfg,
        reader=TableReader(deps.service, view, deps.clock),
        exchange=TableExchange(deps.net, view, deps.metrics),
        snapshots=Snapshots(deps.objects, deps.clock, deps.metrics),
        pruner=Pruner(deps.cfg, deps.service, deps.clock, deps.metrics),
        clock=deps.clock,
        rng=deps.rng,
        metrics=deps.metrics,
    )
    editor = Editor(
        deps.service,
        deps.clock,
        deps.rng,
        deps.metrics,
        follower.publish,
    )
    return TableParts(
        view=view,
        follower=follower,
        editor=editor,
        status=TableStatus(follower, deps.clock),
    )
