"""Connections of callers: each request that was read on one gets a response before it ends."""
