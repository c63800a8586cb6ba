"""The relay: accepts calls over HTTP and forwards them to upstreams."""
