"""Links between the system's own processes: messages, connections, flow control."""
