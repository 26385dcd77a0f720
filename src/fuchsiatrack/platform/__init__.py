"""Adapter of `gateway` to the users' platform: its names, encodings and calls."""
