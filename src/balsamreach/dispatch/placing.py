"""Finds the target for an attempt."""

import attrs

from balsamreach.dispatch import faults
from balsamreach.dispatch.call import Call
from balsamreach.dispatch.faults import DispatchFault
from balsamreach.routing.choice import Chooser, Want
from balsamreach.table.rows import ENGINE, TargetRow
from balsamreach.table.view import TableView
from balsamreach.targets.registry import Target, Targets


@attrs.define
class Placer:
    """Chooses among the targets in force that may run a request."""

    view: TableView
    targets: Targets
    chooser: Chooser
    zone: str

    def place(self, call: Call, tried: set[str]) -> Target | DispatchFault:
        """Choose a target that was not tried yet.

        Parameters
        ----------
        call : Call
            The request.
        tried : set of str
            Names of targets that earlier attempts went to.

        Returns
        -------
        Target or DispatchFault
            NO_TARGET if none serves the request, OVERLOADED if none of
            them can take it now.
        """
        rows = self._rows(call)
        if not rows:
            return faults.NO_TARGET.because(f'no target serves {call.name}')
        able = [
            target
            for target in self.targets.among(rows)
            if target.name not in tried
            and target.in_flight < target.row.concurrency
        ]
        if not able:
            return faults.OVERLOADED.because('every target is busy or leaving')
        want = Want(call.name, call.prefix, self.zone)
        return self.chooser.choose(want, able)

    def _rows(self, call: Call) -> tuple[TargetRow, ...]:
        if call.kind == ENGINE:
            return tuple(self.view.engines_for(call.name))
        return tuple(self.view.workers_of(call.name))
