"""The routing parts of one router, for tests of the routing layer."""

import random

from balsamreach.config.reader import read_settings
from balsamreach.routing.routing import make_routing
from balsamreach.routing.slot import Verdict
from balsamreach.routing.slot_request import SlotRequest
from balsamreach.table.rows import ENGINE, TargetRow
from balsamreach.targets.registry import Targets
from balsamreach.telemetry.metrics import Metrics
from tests.support import FakeClock

MODEL = 'model-a'


def make_rows(count=4, zone='zone-a', **fields):
    """Return rows of engines that serve ``MODEL``."""
    return [
        TargetRow(
            name=f'{zone}-engine-{number}',
            address=f'127.0.0.1:{9000 + number}',
            zone=zone,
            service='llm',
            models=(MODEL,),
            **fields,
        )
        for number in range(count)
    ]


class Node:
    """The routing of one router, with a fake clock and a few targets."""

    def __init__(self, rows=None, net=None, clock=None, options=()):
        self.clock = clock or FakeClock()
        self.targets = Targets()
        self.targets.update(make_rows() if rows is None else rows)
        self.metrics = Metrics()
        self.cfg = read_settings(None, ('host.zone=zone-a', *options))
        self.routing = make_routing(
            self.cfg,
            self.targets,
            self.clock,
            random.Random(7),
            self.metrics,
            net,
        )

    @property
    def picker(self):
        """The router's picker of targets."""
        return self.routing.admission.picker

    @property
    def quarantine(self):
        """The router's quarantine."""
        return self.routing.quarantine

    def ask(self, fingerprint='a', team='team', **fields):
        """Return a request."""
        fields.setdefault('deadline', self.clock.now() + 60)
        return SlotRequest(team, (ENGINE, MODEL), fingerprint, **fields)

    async def send(self, **fields):
        """Enter a request, record it as sent and return its slot."""
        slot = await self.routing.acquire_slot(self.ask(**fields))
        self.routing.feedback.record_sent(slot)
        return slot

    def end(self, slot, verdict=Verdict.GOOD):
        """End a request's exchange with a verdict."""
        slot.verdict = verdict
        self.routing.release_slot(slot)

    def state(self, name):
        """Return the state of a target."""
        pools = self.picker.pools
        pools.find((ENGINE, MODEL))
        return pools.states[name]
