"""Stand-ins for the platform, its replicas and its requesters; standard library only."""
