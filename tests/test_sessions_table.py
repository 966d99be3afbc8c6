"""Golden session of an edit that an old snapshot must not undo."""

from balsamreach.daemon.router import READY, STARTING
from balsamreach.table.rows import PAUSED
from tests.deployment import OPERATOR_SECRET, exchange, request
from tests.failure_case import FailureCase, ask
from tests.failure_rig import TEAM, Rig, wait

_PAUSE = request(
    f'PATCH /table/team/{TEAM}',
    b'{"version": -1, "fields": {"state": "paused"}}',
    OPERATOR_SECRET,
)


class EditTest(FailureCase):
    """A router restarts in a zone without the table service."""

    async def test_accepted_edit_never_goes_back(self):
        """A restarted router does not serve from an outdated snapshot.

        Guards against a paused team that is served again: the team is paused
        at all routers, a zone loses the table service, and a router restarts
        there, reads an old snapshot from the object store and serves with
        it.
        """
        await self.open(Rig())
        zone = ('host.zone=zone-b', 'table.snapshot_interval=1ms')
        for name in ('router-1', 'router-2'):
            self.rig.more[name] = zone
            await self.rig.table_link(name)
        await self.rig.start(2)
        await wait(lambda: self.rig.platform.core.objects._objects)
        self.session.tell('a snapshot is in the object store')
        operators = self.rig.routers[0].operators.address
        await exchange(operators, _PAUSE)
        self.session.tell('the team is paused by an edit at zone-a')
        await wait(lambda: set(self.states()) == {PAUSED})
        self.session.write('in force', ', '.join(self.states()))
        await self.ask_all()
        self.session.tell('zone-b is cut off from the table service')
        for link in self.rig.links:
            link.cut = link.to == self.rig.platform.address
        self.rig.seeds.clear()
        late = await self.rig.begin_router('router-2')
        view = late.parts.table.view
        await wait(lambda: view.version > 0)
        self.session.tell('a router restarts there and sees no other router')
        self.session.write(
            'it has read the old snapshot',
            f'team {view.teams[TEAM].state}, router {late.state}',
        )
        self.assertEqual(late.state, STARTING)
        sent = ask('Quote')
        await self.session.say('quote', late.callers.address, sent)
        self.session.tell('it is found by the other router of its zone')
        keeper = self.rig.routers[1].parts.net.keeper
        made = await keeper.connector.dial(late.parts.net.me.address)
        keeper.tasks.start(keeper.serve(made))
        await wait(lambda: late.state == READY)
        self.session.write('in force', ', '.join(self.states()))
        await self.ask_all()
        self.check('edit-never-reverts')

    def states(self):
        """Return the team's state at each router."""
        return [
            router.parts.table.view.teams[TEAM].state
            for router in self.rig.routers
        ]

    async def ask_all(self):
        """Send a request to every router and write the answers."""
        for router in self.rig.routers:
            title = f'quote at {router.cfg.host.name}'
            await self.session.say(title, router.callers.address, ask('Quote'))
