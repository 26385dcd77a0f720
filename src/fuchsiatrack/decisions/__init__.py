"""Decisions about requests, apart from input and output."""
