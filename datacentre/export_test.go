package datacentre

// AcceptAnyVersion breaks the rule that only a higher version is taken, to
// show that the tests notice.
func (c *Configuration) AcceptAnyVersion() {
	c.replaces = func(_, _ uint64) bool { return true }
}
