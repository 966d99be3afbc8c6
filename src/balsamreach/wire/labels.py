"""Spells names of Python the way the schema does."""

from balsamreach.wire.base import Message


def label_of(name: str) -> str:
    """Return the schema's spelling of a name in snake case."""
    first, *others = name.split('_')
    return first + ''.join(part.title() for part in others)


def kind_label(kind: type[Message]) -> str:
    """Return the name of a class of messages in the envelope's union."""
    name = kind.__name__
    return name[0].lower() + name[1:]
