"""Plan of a trial: addresses, keys and rows of the table."""

import attrs

from balsamreach.table.rows import ENGINE, PLAIN_SERVICE, TargetRow, TeamRow
from balsamreach.table.view import hash_key

_IP = '127.0.0.1'
_CALLERS_PORT = 18080
_OPERATORS_PORT = 18180
_PEERS_PORT = 18280
_PLATFORM_PORT = 18300
_ENGINE_PORT = 18400
_SERVICE_PORT = 18500
_PREPAID_TOKENS = 100_000
MODEL = 'model-a'
TEAM = 'winders'
#: Maximum shift; a greater one would give ports above 65535.
MOST_SHIFT = 65535 - _SERVICE_PORT


@attrs.frozen
class Plan:
    """Ports, keys and size of a trial.

    Parameters
    ----------
    shift : int
        Offset of all ports, so that two trials can run at the same time.
    team_key, operator_key : str
        API keys of the team and of operators.
    zones : tuple of str
        Availability zones; each has one engine.
    routers : int
        Number of routers.
    """

    shift: int = 0
    team_key: str = 'trial-team-key'
    operator_key: str = 'trial-operator-key'
    zones: tuple[str, ...] = ('zone-a', 'zone-b', 'zone-c')
    routers: int = 2

    def callers(self, number: int) -> int:
        """Return the port for callers of a router."""
        return _CALLERS_PORT + self.shift + number

    def operators(self, number: int) -> int:
        """Return the port for operators of a router."""
        return _OPERATORS_PORT + self.shift + number

    def peers(self, number: int) -> int:
        """Return the port for peers of a router."""
        return _PEERS_PORT + self.shift + number

    def seeds(self) -> str:
        """Return the peer addresses of all routers, separated by spaces."""
        return ' '.join(
            f'{_IP}:{self.peers(number)}' for number in range(self.routers)
        )

    @property
    def platform(self) -> int:
        """Port of the simulated platform."""
        return _PLATFORM_PORT + self.shift

    def engine(self, number: int) -> int:
        """Return the port of a simulated engine."""
        return _ENGINE_PORT + self.shift + number

    @property
    def service(self) -> int:
        """Port of the simulated plain service."""
        return _SERVICE_PORT + self.shift

    def ports(self) -> dict[str, int]:
        """Return all ports by a description of their listener."""
        ports = {'stand-in platform': self.platform}
        ports['stand-in service'] = self.service
        for router in range(self.routers):
            ports[f'router {router} callers'] = self.callers(router)
            ports[f'router {router} operators'] = self.operators(router)
            ports[f'router {router} peers'] = self.peers(router)
        for number, _zone in enumerate(self.zones):
            ports[f'stand-in engine {number}'] = self.engine(number)
        return ports

    def router_settings(self, number: int) -> tuple[str, ...]:
        """Return the settings of a router that override the defaults."""
        url = f'http://{_IP}:{self.platform}'
        return (
            f'host.name=router-{number}',
            f'host.address={_IP}',
            f'host.zone={self.zones[number]}',
            f'callers.port={self.callers(number)}',
            'callers.leave_delay=0s',
            f'operators.port={self.operators(number)}',
            f'operators.keys={hash_key(self.operator_key)}',
            f'peers.port={self.peers(number)}',
            f'peers.seeds={self.seeds()}',
            f'platform.table={url}',
            f'platform.objects={url}',
            f'platform.hosts={url}',
            f'platform.weights={url}',
            'telemetry.traces=off',
            'telemetry.log_level=warning',
        )

    def rows(self) -> tuple[TeamRow | TargetRow, ...]:
        """Return the initial rows of the table."""
        engines = (
            TargetRow(
                name=f'engine-{number}',
                address=f'{_IP}:{self.engine(number)}',
                zone=zone,
                service='trial-llm',
                kind=ENGINE,
                models={MODEL: 1},
            )
            for number, zone in enumerate(self.zones)
        )
        desk = TargetRow(
            name='desk-0',
            address=f'{_IP}:{self.service}',
            zone=self.zones[0],
            service='desk',
            kind=PLAIN_SERVICE,
            non_idempotent=('confirmations',),
        )
        return (*self._teams(), *engines, desk)

    def _teams(self) -> tuple[TeamRow, ...]:
        return (
            TeamRow(
                name=TEAM,
                prepaid=_PREPAID_TOKENS,
                key_hashes=(hash_key(self.team_key),),
            ),
            TeamRow(name='front-desk', prepaid=_PREPAID_TOKENS),
        )
