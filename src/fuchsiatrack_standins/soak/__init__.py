"""Soak test: real daemon processes under random faults, and checks of the system's guarantees."""
