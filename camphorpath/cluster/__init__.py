"""State exchange between edge daemons: heartbeats, announcements and state transfers."""
