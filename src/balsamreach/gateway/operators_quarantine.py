"""Handlers that list and lift quarantines of requests."""

from http import HTTPStatus

import attrs
from tornado.web import URLSpec, url

from balsamreach.gateway.operators import OperatorContext, OperatorHandler
from balsamreach.routing.quarantine import Quarantine


class QuarantineListHandler(OperatorHandler):
    """``GET /quarantine``: the quarantined requests."""

    def initialize(
        self,
        context: OperatorContext,
        quarantine: Quarantine,
    ) -> None:
        """Store the context and the quarantine."""
        super().initialize(context)
        self.quarantine = quarantine

    def get(self) -> None:
        """Send the quarantined requests and the targets they crashed."""
        entries = [
            attrs.asdict(entry)
            for entry in self.quarantine.quarantined_requests()
        ]
        self.finish({'quarantine': entries})


class QuarantineHandler(QuarantineListHandler):
    """``DELETE /quarantine/<fingerprint>``: lifts one quarantine."""

    def delete(self, fingerprint: str) -> None:
        """Lift the quarantine of a request at all routers."""
        if self.quarantine.lift(fingerprint):
            self.finish({'lifted': fingerprint})
            return
        self.refuse(
            HTTPStatus.NOT_FOUND,
            'no_quarantine',
            f'no request with fingerprint {fingerprint} is quarantined',
        )


def quarantine_handlers(
    context: OperatorContext,
    quarantine: Quarantine,
) -> list[URLSpec]:
    """Return the routes to add to the operators' listener."""
    arguments = {'context': context, 'quarantine': quarantine}
    return [
        url('/quarantine', QuarantineListHandler, arguments),
        url('/quarantine/([^/]+)', QuarantineHandler, arguments),
    ]
