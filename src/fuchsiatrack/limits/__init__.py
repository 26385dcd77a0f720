"""What all daemons together may send: limits of backend servers, and retries.

The decisions are in `ratelimiter` and `issuer` for limits, `retryratio` and `retryissuer` for
retries; they take the time as an argument.  `permits` and `retrybudget` carry them out.  `backoff`
keeps what servers ask of this daemon alone.
"""
