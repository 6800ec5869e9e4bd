"""What is kept, and the one reducer that changes it. No sockets, no clock."""
