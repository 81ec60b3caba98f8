"""Protocol between entries and agents: message types, codec and authenticated sessions."""
