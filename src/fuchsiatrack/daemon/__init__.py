"""The daemon: its components, listeners, start and graceful stop."""
