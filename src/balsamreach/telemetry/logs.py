"""Logging of JSON lines with a common schema."""

import logging
import re
import sys
from datetime import UTC, datetime
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

from balsamreach.config.settings import Settings

#: Event name of a record that was not logged by ``log_event``.
FOREIGN_EVENT = 'log'

_FIELDS = 'event_fields'
_SECRET = re.compile(
    r'(^|[_-])(authorization|body|key|messages|password|prompt)s?($|[_-])',
    re.IGNORECASE,
)


class SecretFilter(logging.Filter):
    """Drops fields whose names indicate a key or a prompt."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Remove the record's secret fields; the record always passes."""
        fields = getattr(record, _FIELDS, None)
        if fields:
            kept = {
                name: field
                for name, field in fields.items()
                if not _SECRET.search(name)
            }
            setattr(record, _FIELDS, kept)
        return True


class EventFormatter(JsonFormatter):
    """Writes the keys of the schema first, then the event's own fields.

    Parameters
    ----------
    host : str
        Name of this router.
    zone : str
        Availability zone of this router.
    """

    def __init__(self, host: str, zone: str):
        super().__init__(json_default=str)
        self._host = host
        self._zone = zone

    def add_fields(
        self,
        log_data: dict[str, Any],
        record: logging.LogRecord,
        message_dict: dict[str, Any],
    ) -> None:
        """Fill the mapping that becomes one JSON line."""
        fields = dict(getattr(record, _FIELDS, ()))
        is_event = hasattr(record, _FIELDS)
        moment = datetime.fromtimestamp(record.created, UTC)
        log_data['time'] = moment.isoformat(timespec='milliseconds')
        log_data['level'] = record.levelname.lower()
        log_data['logger'] = record.name
        log_data['event'] = record.getMessage() if is_event else FOREIGN_EVENT
        log_data['host'] = self._host
        log_data['zone'] = self._zone
        log_data['request_id'] = fields.pop('request_id', None)
        log_data['team'] = fields.pop('team', None)
        log_data['reason'] = fields.pop('reason', None)
        if not is_event:
            log_data['reason'] = record.getMessage()
        if record.exc_info:
            log_data['exception'] = self.formatException(record.exc_info)
        for name, field in fields.items():
            log_data.setdefault(name, field)


def log_event(
    logger: logging.Logger,
    level: int,
    event: str,
    **fields: Any,
) -> None:
    """Log one event of this package.

    Parameters
    ----------
    logger : logging.Logger
        Logger of the calling module.
    level : int
        Level from ``logging``.
    event : str
        Fixed name of the event in snake case.
    **fields : Any
        ``request_id``, ``team`` and ``reason`` of the schema, and the event's
        own fields. Fields whose names indicate a key or prompt are dropped.
    """
    if logger.isEnabledFor(level):
        logger.log(level, '%s', event, extra={_FIELDS: fields})


def make_handler(
    settings: Settings,
    stream: TextIO | None = None,
) -> logging.Handler:
    """Create a handler that writes JSON lines of the schema.

    Parameters
    ----------
    settings : Settings
        Host and zone.
    stream : text stream, optional
        Output; standard error by default.

    Returns
    -------
    logging.Handler
        Handler with the filter for secrets.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    host = settings.host
    handler.setFormatter(EventFormatter(host.name, host.zone))
    handler.addFilter(SecretFilter())
    return handler


def set_up_logging(
    settings: Settings,
    stream: TextIO | None = None,
) -> None:
    """Replace the handlers of the root logger by one that writes JSON lines.

    Parameters
    ----------
    settings : Settings
        Host, zone and log level.
    stream : text stream, optional
        Output; standard error by default.
    """
    root = logging.getLogger()
    for handler in tuple(root.handlers):
        root.removeHandler(handler)
    root.addHandler(make_handler(settings, stream))
    root.setLevel(settings.telemetry.log_level.upper())
