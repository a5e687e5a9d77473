"""Stand-ins for the review cases."""
