"""Names of the HTTP headers that the users' platform defines."""

#: Id of one attempt of a request, set by the caller and echoed in answers.
REQUEST_ID = 'Attempt-Id'
#: Milliseconds that the sender will wait for the answer.
TIME_LEFT_MS = 'Deadline-Ms'
#: Requested model.
MODEL = 'Model-Name'
#: ``prompt tokens,maximum output tokens``.
TOKEN_COUNTS = 'Token-Counts'
#: Comma-separated ``id:tokens`` of each part of the prompt.
PROMPT_PARTS = 'Prompt-Prefix'
#: Id of the event after which a stream resumes.
LAST_EVENT_ID = 'Last-Event-Id'
#: ``REQUEST_ID`` of the attempt that brought the caller the first event of the
#: stream that it takes up again.
RESUMES = 'Resumes'
#: Id of the target that a request is addressed to.
EXPECTED_INSTANCE = 'Expect-Instance'
#: Name of the team that the request is billed to.
TEAM = 'Tenant-Name'
#: Priority of a request at an engine, from 0 (first) to 9 (last).
PRIORITY = 'Request-Priority'
#: Address of the engine to which the KV cache of the request is copied.
KV_BACKUP = 'Kv-Backup'
#: ``ip:port/id`` of the copied KV cache from which the request continues.
KV_FROM = 'Kv-From'
#: In an answer: the target's signature.
SIGNATURE = 'Response-Stamp'
#: In an answer: the target did not run the request.
NOT_RUN = 'Not-Executed'
#: In an answer: the target that sent it is leaving.
LEAVING = 'Server-Leaving'
#: In an answer: rejections in a second beyond which the target falls over.
BRITTLE = 'Server-Brittle'
#: API key of a team, as a bearer token.
AUTHORIZATION = 'Authorization'

#: Headers that only the router may set; those of callers are dropped.
ROUTER_ONLY = frozenset(
    name.lower()
    for name in (
        TIME_LEFT_MS,
        EXPECTED_INSTANCE,
        TEAM,
        PRIORITY,
        AUTHORIZATION,
        LAST_EVENT_ID,
        KV_BACKUP,
        KV_FROM,
        'Expect-Version',
        'Kv-Hold',
        'Kv-Fetch',
        'Pin-Ms',
    )
)
#: Hop-by-hop headers, which are not forwarded.
HOP_BY_HOP = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
