"""Service levels that daemons measure, and reports built from them."""
