"""Golden session of an edit that must never be undone."""

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
    """A zone is cut off from the platform and a router restarts there."""

    async def test_accepted_edit_never_goes_back(self):
        """A paused team is served again after a restart.

        Symptom: an edit that was in force everywhere is undone at one
        router. Events: the team is paused; a zone loses the table service;
        a router restarts there and finds an old snapshot in the object
        store. Cause: it serves by the snapshot.
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
        link_manager = self.rig.routers[1].parts.net.link_manager
        made = await link_manager.connector.dial(late.parts.net.me.address)
        link_manager.tasks.start(link_manager.serve(made))
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
        """Ask every router."""
        for router in self.rig.routers:
            title = f'quote at {router.cfg.host.name}'
            await self.session.say(title, router.callers.address, ask('Quote'))
