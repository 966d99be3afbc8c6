"""Golden session of an edit that an old snapshot must not undo."""

from balsamreach.daemon.router import READY, STARTING
from balsamreach.table.rows import PAUSED
from tests.deployment import OPERATOR_SECRET, exchange, request
from tests.failure_case import FailureCase, chat_request
from tests.failure_deployment import TEAM, FailureDeployment, wait_until

_PAUSE_TEAM = request(
    f'PATCH /table/team/{TEAM}',
    b'{"version": -1, "fields": {"state": "paused"}}',
    OPERATOR_SECRET,
)


class OutdatedSnapshotTest(FailureCase):
    """A router restarts in a zone without the table service."""

    async def test_restarted_router_ignores_outdated_snapshot(self):
        """A restarted router does not serve from an outdated snapshot.

        Guards against a paused team that is served again: the team is paused
        at all routers, a zone loses the table service, and a router restarts
        there, reads an old snapshot from the object store and serves with
        it.
        """
        await self.open_session(FailureDeployment())
        zone = ('host.zone=zone-b', 'table.snapshot_interval=1ms')
        for name in ('router-1', 'router-2'):
            self.deployment.router_overrides[name] = zone
            await self.deployment.table_link(name)
        await self.deployment.start(2)
        await wait_until(lambda: self.deployment.platform.core.objects._objects)
        self.session.add_step('a snapshot is in the object store')
        operators = self.deployment.routers[0].operators.address
        await exchange(operators, _PAUSE_TEAM)
        self.session.add_step('the team is paused by an edit at zone-a')
        await wait_until(lambda: set(self.states()) == {PAUSED})
        self.session.add_section('in force', ', '.join(self.states()))
        await self.send_to_all()
        self.session.add_step('zone-b is cut off from the table service')
        for link in self.deployment.links:
            link.cut = link.to == self.deployment.platform.address
        self.deployment.seeds.clear()
        restarted = await self.deployment.start_router('router-2')
        view = restarted.parts.table.view
        await wait_until(lambda: view.version > 0)
        self.session.add_step(
            'a router restarts there and sees no other router'
        )
        self.session.add_section(
            'it has read the old snapshot',
            f'team {view.teams[TEAM].state}, router {restarted.state}',
        )
        self.assertEqual(restarted.state, STARTING)
        sent = chat_request('Quote')
        await self.session.send('quote', restarted.callers.address, sent)
        self.session.add_step('it is found by the other router of its zone')
        link_manager = self.deployment.routers[1].parts.net.link_manager
        conn = await link_manager.connector.dial(restarted.parts.net.me.address)
        link_manager.tasks.start(link_manager.serve(conn))
        await wait_until(lambda: restarted.state == READY)
        self.session.add_section('in force', ', '.join(self.states()))
        await self.send_to_all()
        self.check_session('edit-never-reverts')

    def states(self):
        """Return the team's state at each router."""
        return [
            router.parts.table.view.teams[TEAM].state
            for router in self.deployment.routers
        ]

    async def send_to_all(self):
        """Send a request to every router and write the answers."""
        for router in self.deployment.routers:
            title = f'quote at {router.cfg.host.name}'
            await self.session.send(
                title, router.callers.address, chat_request('Quote')
            )
