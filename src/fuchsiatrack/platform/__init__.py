"""Adapter of the router to the users' platform: its names, encodings and calls."""
