"""What edge daemons tell each other."""
