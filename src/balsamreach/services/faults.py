"""Sentinel errors of the platform layer."""

from balsamreach.faults import Fault


class PlatformFault(Fault):
    """An error met while speaking to a service of the platform."""


#: The request never reached the service: nothing was applied.
UNREACHABLE = PlatformFault('platform_unreachable')
#: The service refused for now (rate limit, outage): nothing was applied.
UNAVAILABLE = PlatformFault('platform_unavailable')
#: No answer came back: the change may or may not have been applied.
UNKNOWN = PlatformFault('platform_unknown')
#: A check of a conditional commit did not hold: nothing was applied.
CONFLICT = PlatformFault('platform_conflict')
#: The service calls the request malformed: nothing was applied.
INVALID = PlatformFault('platform_invalid')
#: There is no such object or weight file.
MISSING = PlatformFault('platform_missing')
#: The answer is larger than the call allows.
TOO_LARGE = PlatformFault('platform_too_large')
