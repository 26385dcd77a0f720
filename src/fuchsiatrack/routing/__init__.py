"""The path of a request: admission, server selection, sends, the response."""
