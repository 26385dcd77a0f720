"""Named objects that operators publish, and the validation of whole sets of them."""
