"""The daemon that routes by host and path to servers that a directory lists."""
