"""The configuration in force at this router."""

import logging

import attrs

from balsamreach.catalogue.catalogue import Catalogue
from balsamreach.telemetry.logs import log_event

_logger = logging.getLogger(__name__)


@attrs.define
class CatalogueView:
    """Holds the newest configuration that has come, by any way.

    Parameters
    ----------
    current : Catalogue or None
        None until the first one came.
    heard : int
        Newest version that any router is known to have.
    """

    current: Catalogue | None = None
    heard: int = 0

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return 0 if self.current is None else self.current.version

    @property
    def is_behind(self) -> bool:
        """Whether another router has a newer one than this."""
        return self.version < self.heard

    def hear(self, version: int) -> None:
        """Take note of the version that another router has."""
        self.heard = max(self.heard, version)

    def prepaid(self, team: str) -> int | None:
        """Return a team's prepaid tokens, None where it is not metered."""
        if self.current is None or team not in self.current.teams:
            return None
        return self.current.teams[team].prepaid

    def metered(self) -> tuple[str, ...]:
        """Return the teams whose tokens are prepaid."""
        if self.current is None:
            return ()
        teams = self.current.teams.items()
        return tuple(name for name, team in teams if team.prepaid is not None)

    def offer(self, catalogue: Catalogue, source: str) -> bool:
        """Take a configuration if it is newer than what is in force.

        The ways by which one comes overtake each other. Were an older one
        taken, a removed key would be let in again; it would show as a
        version that goes back.

        Parameters
        ----------
        catalogue : Catalogue
            What came.
        source : str
            The way it came, for the log.

        Returns
        -------
        bool
            Whether it is in force now.
        """
        if catalogue.version <= self.version:
            return False
        log_event(
            _logger,
            logging.INFO,
            'configuration_in_force',
            version=catalogue.version,
            before=self.version,
            source=source,
            routes=len(catalogue.routes),
        )
        self.current = catalogue
        return True
