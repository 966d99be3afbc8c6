"""What a router that passes requests through has of the platform."""

import attrs

from balsamreach.services.base import HostList, TableService
from balsamreach.services.times import ServiceClock


@attrs.frozen
class Outside:
    """The platform's services.

    Parameters
    ----------
    table : TableService
        Where accounts are kept.
    hosts : HostList
        Where routers find each other.
    times : ServiceClock
        Time of the table service.
    """

    table: TableService
    hosts: HostList
    times: ServiceClock
