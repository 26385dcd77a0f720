"""Programs that stand in for the platform, the backend servers and the callers."""
