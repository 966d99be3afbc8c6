"""The operators' interface: the table, budgets and the state of routers."""

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
    """``GET /status``: which version of the table routers have in force."""

    async def get(self) -> None:
        """Ask all routers and list them."""
        self.finish(await self.context.status.collect())


class UnknownPathHandler(OperatorHandler):
    """Answers whatever no other handler takes."""

    def prepare(self) -> None:
        """Refuse, and tell the paths only to operators."""
        super().prepare()
        if not self._finished:
            self.refuse(
                HTTPStatus.NOT_FOUND,
                'no_such_path',
                'there are /table, /edits, /history, /status and /budgets',
            )


def make_operators_app(context: OperatorContext) -> Application:
    """Return the application of the operators' listener."""
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
