"""fuchsiatrack: a router for servers that each own their keys exclusively."""

__version__ = "0.1.0"
