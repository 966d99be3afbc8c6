"""Routes of the operators' interface, and its status handler."""

from http import HTTPStatus

from tornado.web import Application

from balsamreach.gateway.operators_base import (
    OperatorContext,
    OperatorHandler,
)
from balsamreach.gateway.operators_budgets import BudgetHandler
from balsamreach.gateway.operators_table import (
    EditsHandler,
    HistoryHandler,
    RowHandler,
    RowsHandler,
    TableHandler,
)

__all__ = ('OperatorContext', 'make_operators_app')


class StatusHandler(OperatorHandler):
    """``GET /status``: the table version in force at each router."""

    async def get(self) -> None:
        """Ask all routers and send the list of their answers."""
        self.finish(await self.context.status.collect())


class UnknownPathHandler(OperatorHandler):
    """Handler of all paths without a route."""

    def prepare(self) -> None:
        """Send status 404, and the known paths only to operators."""
        super().prepare()
        if not self._finished:
            self.refuse(
                HTTPStatus.NOT_FOUND,
                'no_such_path',
                'known paths: /table, /edits, /history, /status and /budgets',
            )


def make_operators_app(context: OperatorContext) -> Application:
    """Build the application of the operators' listener."""
    arguments = {'context': context}
    return Application(
        [
            ('/table', TableHandler, arguments),
            ('/table/(team|target)/([^/]+)', RowHandler, arguments),
            ('/rows', RowsHandler, arguments),
            ('/edits', EditsHandler, arguments),
            ('/history', HistoryHandler, arguments),
            ('/status', StatusHandler, arguments),
            ('/budgets/([^/]+)', BudgetHandler, arguments),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=arguments,
    )
