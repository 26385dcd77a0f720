"""Ownership of numeric key ranges: who leads, who owns what, and how ranges move."""
