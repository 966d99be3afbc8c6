"""Routes of the callers' interface."""

from tornado.web import Application

from balsamreach.gateway.base import (
    CallerContext,
    NotFoundHandler,
    disable_access_log,
)
from balsamreach.gateway.chat_handler import ChatHandler
from balsamreach.gateway.chat_request import CHAT_PATH
from balsamreach.gateway.models_handler import ModelsHandler
from balsamreach.gateway.service_handler import ServiceHandler


def make_callers_app(context: CallerContext) -> Application:
    """Build the application of the callers' listener."""
    arguments = {'context': context}
    return Application(
        [
            (CHAT_PATH, ChatHandler, arguments),
            ('/v1/models(?:/(.+))?', ModelsHandler, arguments),
            ('/services/([^/]+)/(.*)', ServiceHandler, arguments),
        ],
        default_handler_class=NotFoundHandler,
        default_handler_args=arguments,
        log_function=disable_access_log,
    )
