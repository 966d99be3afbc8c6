"""Conversion of Python names to names in the schema."""

from balsamreach.wire.base import Message


def field_label(name: str) -> str:
    """Convert an attribute name in snake case to the schema's camel case."""
    first, *others = name.split('_')
    return first + ''.join(part.title() for part in others)


def kind_label(kind: type[Message]) -> str:
    """Return the name of a message class in the envelope's union."""
    name = kind.__name__
    return name[0].lower() + name[1:]
