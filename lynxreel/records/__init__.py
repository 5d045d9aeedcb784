"""Records of an instance: request counts, and the file that counts and events are appended to."""
