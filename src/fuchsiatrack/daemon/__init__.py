"""The daemon: wiring of its parts, its listeners, and its graceful stop."""
