"""Ownership of numeric key ranges: leader election, grants, planning and moves."""
