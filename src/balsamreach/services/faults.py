"""Faults of the platform's services."""

from balsamreach.faults import Fault


class PlatformFault(Fault):
    """Fault of a call to a platform service."""


#: The request never reached the service: nothing was applied.
UNREACHABLE = PlatformFault('platform_unreachable')
#: Temporary refusal (rate limit, outage): nothing was applied.
UNAVAILABLE = PlatformFault('platform_unavailable')
#: No answer came: the change may or may not have been applied.
UNKNOWN = PlatformFault('platform_unknown')
#: A check of a conditional commit did not hold: nothing was applied.
CONFLICT = PlatformFault('platform_conflict')
#: The service rejected the request as malformed: nothing was applied.
INVALID = PlatformFault('platform_invalid')
#: The object or weight file does not exist.
MISSING = PlatformFault('platform_missing')
#: The answer exceeds the maximum size set for the call.
TOO_LARGE = PlatformFault('platform_too_large')
