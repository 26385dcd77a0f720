"""Stand-ins for the platform, the backend servers and the callers, and programs that measure."""
