"""Seeded exploration of how instances learn that servers leave, in simulated time."""
