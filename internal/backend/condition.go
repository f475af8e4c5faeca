package backend

import "time"

// Condition is the state of the server itself that an answer reports. Fields that are absent or
// unreadable have the zero value.
type Condition struct {
	// Limit is the request rate that the server accepts.
	Limit Limit
	// Leaving is set if the server is about to end and accepts no new requests.
	Leaving bool
	// HoldOff is how long the box that got the answer must not send requests to the server, which
	// turned the request away.
	HoldOff time.Duration
	// Brittle is how many requests the server can turn away.
	Brittle Brittle
	// Unreadable lists the parts that could not be parsed. They have no effect.
	Unreadable []Unreadable
}

// Limit is a rate limit that a server states in an answer.
type Limit struct {
	// Stated is set if the answer states a limit; PerSecond is the maximum rate that the server
	// accepts from all boxes together.
	Stated    bool
	PerSecond float64
}

// Brittle says that a server falls over when it has to turn away too many requests.
type Brittle struct {
	// Stated is set if the server says so; PerSecond is how many requests it can turn away in a second.
	Stated    bool
	PerSecond float64
}

// ConditionKind is a part of a Condition.
type ConditionKind string

// Conditions that servers report in their answers.
const (
	KindLimit   ConditionKind = "limit"
	KindLeaving ConditionKind = "leaving"
	KindHoldOff ConditionKind = "hold-off"
	KindBrittle ConditionKind = "brittle"
)

// Unreadable is a condition that could not be parsed.
type Unreadable struct {
	Kind ConditionKind
	Err  error
}

// IsUnreadable reports whether the condition is present but could not be parsed.
func (c *Condition) IsUnreadable(w ConditionKind) bool {
	for _, u := range c.Unreadable {
		if u.Kind == w {
			return true
		}
	}
	return false
}

// IsZero reports whether the answer states no condition.
func (c *Condition) IsZero() bool {
	return !c.Limit.Stated && !c.Leaving && c.HoldOff == 0 && !c.Brittle.Stated && len(c.Unreadable) == 0
}
