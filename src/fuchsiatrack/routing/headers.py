"""Names of the HTTP headers between callers, daemons and backend servers."""

KEY = "Fuchsiatrack-Key"
DEADLINE = "Fuchsiatrack-Deadline-Ms"
REQUEST_ID = "Fuchsiatrack-Request-Id"
PARTITION = "Fuchsiatrack-Partition"
FENCE = "Fuchsiatrack-Fence"
CALLER = "Fuchsiatrack-Caller"
ORDER = "Idempotency-Key"

# Hop-by-hop headers, the caller's credentials, and headers that the daemon sets itself.
NOT_FORWARDED = frozenset(
    name.lower()
    for name in (
        "Connection",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Host",
        "Expect",
        "Authorization",
        "Content-Length",
        "Fuchsiatrack-Verdict",
        "Fuchsiatrack-Reason",
        KEY,
        DEADLINE,
        REQUEST_ID,
        PARTITION,
        FENCE,
        CALLER,
        ORDER,
    )
)
