package check

// Once finds requests that may run at most once and ran more often.
func Once(c *Case) []Violation {
	var all []Violation
	for i := range c.Requests {
		q := &c.Requests[i]
		runs := c.ran(q.ID)
		if q.Repeatable || len(runs) < 2 {
			continue
		}
		all = append(all, found("at most once", runs[1].At, "%s ran %d times, first at %s, then at %s",
			q.ID, len(runs), runs[0].Server, runs[1].Server))
	}
	return all
}
