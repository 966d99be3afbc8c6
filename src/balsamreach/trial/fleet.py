"""Starts and stops the routers and simulated targets of a trial."""

import socket

import attrs

from balsamreach.clock import SystemClock
from balsamreach.config.faults import ConfigFault
from balsamreach.config.reader import read_settings
from balsamreach.config.settings import Settings
from balsamreach.daemon.router import Router
from balsamreach.faults import Fault
from balsamreach.services.base import TableService
from balsamreach.standins.engine_settings import EngineSettings
from balsamreach.standins.serve import (
    PlatformSettings,
    Running,
    start_engine,
    start_platform,
    start_service,
)
from balsamreach.standins.service import ServiceSettings
from balsamreach.table.editor import Editor
from balsamreach.table.edits import Edit
from balsamreach.table.faults import TableFault
from balsamreach.table.rows import encode
from balsamreach.trial.plan import MODEL, Plan

_PACE_MS = 40
_FIRST_MS = 150


class TrialFault(Fault):
    """Fault that prevents the start of a trial."""


#: A port that the trial needs is in use.
PORT_TAKEN = TrialFault('port_taken')


@attrs.define
class Fleet:
    """Routers, simulated platform and targets of a trial in one process."""

    plan: Plan
    standins: list[Running] = attrs.field(factory=list)
    routers: list[Router] = attrs.field(factory=list)

    def check(self) -> TrialFault | None:
        """Return PORT_TAKEN if a port of the plan can't be bound."""
        for listener, port in self.plan.ports().items():
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                if not _can_bind(sock, port):
                    return PORT_TAKEN.because(
                        f'port {port} for the {listener} is in use; end the '
                        'other trial or give --shift',
                    )
        return None

    async def start(self) -> None:
        """Start all parts, write the table and wait until routers apply it."""
        plan = self.plan
        platform = await start_platform(PlatformSettings(port=plan.platform))
        self.standins.append(platform)
        await self._fill_table(platform.core.table)
        await self._start_targets()
        for number in range(plan.routers):
            router = Router(_read_router_settings(plan, number))
            await router.start()
            self.routers.append(router)
        # Otherwise a command that is pasted or run by a script before the table
        # is in force would be refused, as if the trial were broken.
        for router in self.routers:
            await router.ready.wait()

    async def stop(self) -> None:
        """Let the routers leave, then stop the platform and the targets."""
        for router in self.routers:
            await router.leave()
        for standin in reversed(self.standins):
            await standin.stop()

    async def _start_targets(self) -> None:
        for number, zone in enumerate(self.plan.zones):
            engine = EngineSettings(
                models=[MODEL],
                port=self.plan.engine(number),
                zone=zone,
                pace_ms=_PACE_MS,
                first_ms=_FIRST_MS,
            )
            self.standins.append(await start_engine(engine))
        service = ServiceSettings(port=self.plan.service)
        self.standins.append(await start_service(service))

    async def _fill_table(self, service: TableService) -> None:
        editor = Editor(service, SystemClock())
        for row in self.plan.rows():
            edit = Edit(f'seed-{row.name}', 'trial', row.key, 0, encode(row))
            outcome = await editor.apply(edit)
            assert not isinstance(outcome, TableFault), outcome


def _can_bind(sock: socket.socket, port: int) -> bool:
    try:
        sock.bind(('127.0.0.1', port))
    except OSError:
        return False
    return True


def _read_router_settings(plan: Plan, number: int) -> Settings:
    cfg = read_settings(None, plan.router_settings(number))
    assert not isinstance(cfg, ConfigFault), cfg.reason
    return cfg
