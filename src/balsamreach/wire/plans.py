"""Works out how each class of messages maps onto its struct."""

from collections.abc import Callable
from functools import cache, partial
from typing import Any, get_args, get_origin, get_type_hints

import attrs

from balsamreach.wire.base import Message
from balsamreach.wire.labels import label_of

#: Most elements of one list. A list of empty structs takes next to no bytes,
#: so without this bound a small frame could keep the decoder busy for seconds.
MOST_ELEMENTS = 4096

#: Sets one field of a builder.
Setter = Callable[[Any, str, Any], None]
#: Turns what a reader returns for a field into the attribute.
Getter = Callable[[Any], Any]


@attrs.frozen
class FieldPlan:
    """How one attribute of a message is written and read.

    Parameters
    ----------
    name : str
        The attribute's name.
    label : str
        Its name in the schema.
    default : object
        Never written, since the schema has the same one.
    write, read : callable
        Setter and getter.
    """

    name: str
    label: str
    default: Any
    write: Setter
    read: Getter


@cache
def plan_for(kind: type[Message]) -> tuple[FieldPlan, ...]:
    """Return the plans of all attributes of a class of messages."""
    hints = get_type_hints(kind)
    return tuple(
        _plan_field(field.name, hints[field.name])
        for field in attrs.fields(kind)
    )


def write_struct(builder: Any, message: Message) -> None:
    """Fill a struct's builder from a message."""
    for plan in plan_for(type(message)):
        attribute = getattr(message, plan.name)
        if attribute != plan.default:
            plan.write(builder, plan.label, attribute)


def read_struct(kind: type[Message], reader: Any) -> Message:
    """Return the message that a struct's reader holds."""
    return kind(
        *[plan.read(getattr(reader, plan.label)) for plan in plan_for(kind)],
    )


def _plan_field(name: str, hint: Any) -> FieldPlan:
    label = label_of(name)
    if get_origin(hint) is tuple:
        element = get_args(hint)[0]
        if isinstance(element, type) and issubclass(element, Message):
            return FieldPlan(
                name, label, (), _write_structs, partial(_read_structs, element)
            )
        return FieldPlan(name, label, (), _write_plains, _read_plains)
    if issubclass(hint, Message):
        return FieldPlan(
            name, label, None, _write_inner, partial(read_struct, hint)
        )
    getter = bytes if hint is bytes else _same
    return FieldPlan(name, label, hint(), setattr, getter)


def _read_structs(kind: type[Message], readers: Any) -> tuple[Message, ...]:
    _check_length(readers)
    return tuple(read_struct(kind, reader) for reader in readers)


def _write_inner(builder: Any, label: str, message: Message) -> None:
    write_struct(builder.init(label), message)


def _write_structs(
    builder: Any,
    label: str,
    messages: tuple[Message, ...],
) -> None:
    structs = builder.init(label, len(messages))
    for number, message in enumerate(messages):
        write_struct(structs[number], message)


def _write_plains(
    builder: Any,
    label: str,
    texts: tuple[str, ...],
) -> None:
    plains = builder.init(label, len(texts))
    for number, text in enumerate(texts):
        plains[number] = text


def _read_plains(readers: Any) -> tuple[Any, ...]:
    _check_length(readers)
    return tuple(readers)


def _check_length(readers: Any) -> None:
    # The codec turns the error into a fault, like those of the library.
    length = len(readers)
    if length > MOST_ELEMENTS:
        raise ValueError(f'list of {length} elements')


def _same(plain: Any) -> Any:
    return plain
