"""Which daemon, queue position and upstream a call gets, without input or output."""
