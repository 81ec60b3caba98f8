"""Protocol between entries and agents: typed messages, codec and authenticated sessions."""
