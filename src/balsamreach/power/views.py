"""What a decider observes of a service's hosts in one step."""

from collections.abc import Mapping

import attrs

from balsamreach.power.demand import Load
from balsamreach.power.rows import HostRecord, PowerRow
from balsamreach.targets.registry import Target
from balsamreach.targets.reports import LoadReport


@attrs.frozen
class HostView:
    """One host in one step.

    Parameters
    ----------
    target : Target
        The target on the host.
    record : HostRecord or None
        Its record in the power row; None for on.
    report : LoadReport or None
        Its load report of this step; None if it gave none.
    listed : bool
        Whether the platform's list shows it as live.
    idle : bool
        Whether the leaving incarnation is known to run nothing.
    settled : bool
        Whether no order to switch it off can still be under way.
    overdue : bool
        Whether it was ordered on and has exceeded the start timeout.
    """

    target: Target
    record: HostRecord | None = None
    report: LoadReport | None = None
    listed: bool = True
    idle: bool = False
    settled: bool = False
    overdue: bool = False

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.target.name

    @property
    def state(self) -> str:
        """State in the power row, empty for on."""
        return self.record.state if self.record else ''

    @property
    def restarted(self) -> bool:
        """Whether another incarnation than the recorded one answers."""
        if self.report is None or self.record is None:
            return False
        return self.report.incarnation != self.record.incarnation

    @property
    def models_loaded(self) -> bool:
        """Whether it has loaded all models that its row names."""
        models = self.report.models if self.report else ()
        return set(self.target.row.models) <= set(models)


@attrs.frozen
class ZoneView:
    """All hosts of a service in a zone.

    Parameters
    ----------
    row : PowerRow
        The row that this step has read.
    hosts : Mapping of str to HostView
        Hosts by target name.
    waiting : int
        Requests that wait at this router.
    """

    row: PowerRow
    hosts: Mapping[str, HostView]
    waiting: int = 0

    def load(self) -> Load:
        """Return the load of the hosts that answered."""
        answered = [host for host in self.hosts.values() if host.report]
        available = [host for host in answered if not host.state]
        return Load(
            busy=self.waiting + sum(host.report.busy for host in answered),
            slots=sum(host.report.slots for host in available),
            hosts=len(available),
        )
