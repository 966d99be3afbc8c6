"""The configuration in force at this router."""

import logging

import attrs

from balsamreach.catalogue.catalogue import Catalogue
from balsamreach.telemetry.logs import log_event

_logger = logging.getLogger(__name__)


@attrs.define
class CatalogueView:
    """Holds the newest configuration received from any source.

    Parameters
    ----------
    current : Catalogue or None
        None until the first one is received.
    heard : int
        Newest version that any router is known to have.
    """

    current: Catalogue | None = None
    newest_known: int = 0

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return 0 if self.current is None else self.current.version

    @property
    def is_behind(self) -> bool:
        """Whether another router has a newer configuration."""
        return self.version < self.newest_known

    def record_version(self, version: int) -> None:
        """Record the version that another router has."""
        self.newest_known = max(self.newest_known, version)

    def prepaid(self, team: str) -> int | None:
        """Return a team's prepaid tokens, None if it is not metered."""
        if self.current is None or team not in self.current.teams:
            return None
        return self.current.teams[team].prepaid

    def metered(self) -> tuple[str, ...]:
        """Return the names of the metered teams."""
        if self.current is None:
            return ()
        teams = self.current.teams.items()
        return tuple(name for name, team in teams if team.prepaid is not None)

    def update_if_newer(self, catalogue: Catalogue, source: str) -> bool:
        """Put a configuration into force if it is newer.

        Configurations from several sources can arrive out of order. If an
        older one were put into force, a removed key would be accepted again
        and the version would decrease.

        Parameters
        ----------
        catalogue : Catalogue
            The received configuration.
        source : str
            Where it came from, for the log.

        Returns
        -------
        bool
            Whether it is now in force.
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
