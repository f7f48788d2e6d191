"""What is decided on requests: plain functions over facts, without I/O, clock or random source."""
