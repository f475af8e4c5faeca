package check

// Backlog finds boxes that kept more for callers and servers that read slowly than their bound.
func Backlog(c *Case) []Violation {
	var all []Violation
	over := make(map[string]bool)
	for _, k := range c.Kept {
		if k.Most <= c.bounds.KeptBytes || over[k.Box] {
			continue
		}
		over[k.Box] = true
		all = append(all, found("kept for slow readers", k.At, "box %s life %d kept %d bytes, %d are allowed", k.Box, k.Life, k.Most, c.bounds.KeptBytes))
	}
	return all
}
