"""Parts that every other module uses: clock, errors, verdicts, plug-ins, settings, logs."""
