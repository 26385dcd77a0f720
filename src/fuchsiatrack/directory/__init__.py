"""Backend servers listed in the directory."""
