"""The named objects that operators publish, and the check of a whole set."""
