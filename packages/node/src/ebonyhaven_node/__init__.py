"""The node that every instance runs."""
