package check

// Ends finds processes that ended without being told to.
func Ends(c *Case) []Violation {
	var all []Violation
	for _, l := range c.Lives {
		if !l.Signalled {
			all = append(all, found("processes run on", l.To, "box %s life %d ended by itself: %s", l.Box, l.Number, l.End))
		}
	}
	return all
}
