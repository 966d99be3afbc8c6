"""What the trial consists of: addresses, keys and rows of the table."""

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
_PREPAID = 100_000
MODEL = 'model-a'
TEAM = 'winders'
#: With a greater shift a port would be beyond the last one.
MOST_SHIFT = 65535 - _SERVICE_PORT


@attrs.frozen
class Plan:
    """Ports and keys of a trial.

    Parameters
    ----------
    shift : int
        Added to every port, so that two trials can run side by side.
    team_key, operator_key : str
        Secrets to call with.
    """

    shift: int = 0
    team_key: str = 'trial-team-key'
    operator_key: str = 'trial-operator-key'
    zones: tuple[str, ...] = ('zone-a', 'zone-b', 'zone-c')
    routers: int = 2

    def callers(self, number: int) -> int:
        """Return the callers' port of a router."""
        return _CALLERS_PORT + self.shift + number

    def operators(self, number: int) -> int:
        """Return the operators' port of a router."""
        return _OPERATORS_PORT + self.shift + number

    def peers(self, number: int) -> int:
        """Return the peers' port of a router."""
        return _PEERS_PORT + self.shift + number

    def seeds(self) -> str:
        """Return the peers' listeners of all routers."""
        return ' '.join(
            f'{_IP}:{self.peers(number)}' for number in range(self.routers)
        )

    @property
    def platform(self) -> int:
        """Port of the stand-in platform."""
        return _PLATFORM_PORT + self.shift

    def engine(self, number: int) -> int:
        """Return the port of a stand-in engine."""
        return _ENGINE_PORT + self.shift + number

    @property
    def service(self) -> int:
        """Port of the stand-in plain service."""
        return _SERVICE_PORT + self.shift

    def ports(self) -> dict[str, int]:
        """Return every port by what will listen on it."""
        ports = {'stand-in platform': self.platform}
        ports['stand-in service'] = self.service
        for router in range(self.routers):
            ports[f'router {router} callers'] = self.callers(router)
            ports[f'router {router} operators'] = self.operators(router)
            ports[f'router {router} peers'] = self.peers(router)
        for number, _zone in enumerate(self.zones):
            ports[f'stand-in engine {number}'] = self.engine(number)
        return ports

    def settings_of(self, number: int) -> tuple[str, ...]:
        """Return the settings of a router as overrides of the defaults."""
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
        """Return the rows that the table starts with."""
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
                prepaid=_PREPAID,
                key_hashes=(hash_key(self.team_key),),
            ),
            TeamRow(name='front-desk', prepaid=_PREPAID),
        )
