"""Policy benchmark: the real decision modules against fakes at their interfaces."""
