"""Operators' interface to requests that are kept from running."""

from http import HTTPStatus

import attrs
from tornado.web import URLSpec, url

from balsamreach.gateway.operators import OperatorContext, OperatorHandler
from balsamreach.routing.quarantine import Quarantine


class QuarantineListHandler(OperatorHandler):
    """``GET /quarantine``: requests kept from running."""

    def initialize(
        self,
        context: OperatorContext,
        quarantine: Quarantine,
    ) -> None:
        """Take what the application was made with."""
        super().initialize(context)
        self.quarantine = quarantine

    def get(self) -> None:
        """List quarantines with the targets that the requests crashed."""
        held = [
            attrs.asdict(entry)
            for entry in self.quarantine.quarantined_requests()
        ]
        self.finish({'quarantine': held})


class QuarantineHandler(QuarantineListHandler):
    """``/quarantine/<fingerprint>``: one of them."""

    def delete(self, fingerprint: str) -> None:
        """Lift a quarantine at all routers."""
        if self.quarantine.lift(fingerprint):
            self.finish({'lifted': fingerprint})
            return
        self.refuse(
            HTTPStatus.NOT_FOUND,
            'no_quarantine',
            f'nothing is quarantined under {fingerprint}',
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
