"""Platform services used by a relay router."""

import attrs

from balsamreach.services.base import HostList, TableService
from balsamreach.services.release_store import NoReleaseStore, ReleaseStore
from balsamreach.services.times import ServiceClock


@attrs.frozen
class Outside:
    """Platform services used by a relay router.

    Parameters
    ----------
    table : TableService
        Table service with the accounts.
    hosts : HostList
        Host list, by which routers find each other.
    times : ServiceClock
        Bounds on the clock of the table service.
    releases : ReleaseStore
        What is kept of releases over a restart of all routers.
    """

    table: TableService
    hosts: HostList
    times: ServiceClock
    releases: ReleaseStore = attrs.field(factory=NoReleaseStore)
