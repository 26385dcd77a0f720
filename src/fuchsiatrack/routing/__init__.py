"""The path of a request: admission, choice of a server, attempts, the answer."""
