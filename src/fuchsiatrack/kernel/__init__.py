"""Modules that all packages use: clock, errors, verdicts, plug-ins, settings, logs, metrics."""
