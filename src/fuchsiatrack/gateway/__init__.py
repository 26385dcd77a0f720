"""Daemon that routes by host and path to the servers listed in a directory."""
