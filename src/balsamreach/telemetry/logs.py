"""Log records as JSON lines, all of one schema."""

import logging
import re
import sys
from datetime import UTC, datetime
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

from balsamreach.config.settings import Settings

#: Event name of a record that no code of ours wrote.
FOREIGN_EVENT = 'log'

_FIELDS = 'event_fields'
_SECRET = re.compile(
    r'(^|[_-])(authorization|body|key|messages|password|prompt)s?($|[_-])',
    re.IGNORECASE,
)


class SecretFilter(logging.Filter):
    """Drops fields that by their name hold a key or a prompt."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Clean the record's fields; the record itself always passes."""
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
    """Writes the fixed keys of the schema first, then the event's own.

    Parameters
    ----------
    host : str
        Name of this router.
    zone : str
        Its availability zone.
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
        ours = hasattr(record, _FIELDS)
        moment = datetime.fromtimestamp(record.created, UTC)
        log_data['time'] = moment.isoformat(timespec='milliseconds')
        log_data['level'] = record.levelname.lower()
        log_data['logger'] = record.name
        log_data['event'] = record.getMessage() if ours else FOREIGN_EVENT
        log_data['host'] = self._host
        log_data['zone'] = self._zone
        log_data['request_id'] = fields.pop('request_id', None)
        log_data['team'] = fields.pop('team', None)
        log_data['reason'] = fields.pop('reason', None)
        if not ours:
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
    """Log one event of the product.

    Parameters
    ----------
    logger : logging.Logger
        Logger of the module that saw the event.
    level : int
        Level from ``logging``.
    event : str
        Fixed name of the event in snake case.
    **fields : Any
        ``request_id``, ``team`` and ``reason`` of the schema, and fields of
        the event's own. Fields named like keys or prompts are dropped.
    """
    if logger.isEnabledFor(level):
        logger.log(level, '%s', event, extra={_FIELDS: fields})


def make_handler(
    settings: Settings,
    stream: TextIO | None = None,
) -> logging.Handler:
    """Make a handler that writes the schema's JSON lines.

    Parameters
    ----------
    settings : Settings
        Names the host and its zone.
    stream : text stream, optional
        Where lines go; standard error by default.

    Returns
    -------
    logging.Handler
        The handler, its filter in place.
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
    """Send all records of this process through one handler.

    Parameters
    ----------
    settings : Settings
        Host, zone and log level.
    stream : text stream, optional
        Where lines go; standard error by default.
    """
    root = logging.getLogger()
    for handler in tuple(root.handlers):
        root.removeHandler(handler)
    root.addHandler(make_handler(settings, stream))
    root.setLevel(settings.telemetry.log_level.upper())
