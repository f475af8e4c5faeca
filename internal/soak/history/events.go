// Package history holds what callers, backend servers and the operator of a run
// have seen and done. Times are those since the run began.
package history

import "time"

// Request is one attempt of a caller, written down when it has ended.
type Request struct {
	ID     string `json:"id"`
	Method string `json:"method"`
	Host   string `json:"host"`
	URI    string `json:"uri"`
	Body   string `json:"body"`
	Key    string `json:"key"`
	// Account is the client account that holds the key.
	Account string `json:"account"`
	// Repeatable requests may run more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// Events is the number of events of a whole stream; 0 is a single answer.
	Events int `json:"events,omitempty"`
	// Timeout is how long its route lets it take; 0 is no bound.
	Timeout time.Duration `json:"timeout,omitempty"`
	// Segments are the prompt segments that other requests have too.
	Segments []string `json:"segments,omitempty"`

	// Box and Life name the process that got it: the life is counted from 1.
	Box  string        `json:"box"`
	Life int           `json:"life"`
	Sent time.Duration `json:"sent"`
	Done time.Duration `json:"done"`
	// GivenUp is set if the caller closed; else without a Status, or if the
	// answer is not Whole, the connection ended. Why is the error seen.
	GivenUp bool   `json:"givenUp,omitempty"`
	Whole   bool   `json:"whole,omitempty"`
	Why     string `json:"why,omitempty"`
	// EndLife is the life of the box when the request had ended.
	EndLife int `json:"endLife"`

	// Status is 0 without an answer. AnswerID, Proof and Text are the answer's.
	Status   int    `json:"status"`
	AnswerID string `json:"answerID,omitempty"`
	Proof    string `json:"proof,omitempty"`
	Text     string `json:"text,omitempty"`
	// Surplus is set if bytes came after the answer.
	Surplus bool `json:"surplus,omitempty"`
}

// Answered reports whether a whole answer came.
func (r *Request) Answered() bool { return r.Status != 0 && r.Whole }

// Succeeded reports whether the status is that of a success, 200 to 299.
func (r *Request) Succeeded() bool { return r.Status/100 == 2 }

// Served reports whether a whole success came.
func (r *Request) Served() bool { return r.Answered() && r.Succeeded() }

// Arrival is a request at a backend server.
type Arrival struct {
	At      time.Duration `json:"at"`
	ID      string        `json:"id"`
	Server  string        `json:"server"`
	Service string        `json:"service"`
	Method  string        `json:"method"`
	URI     string        `json:"uri"`
	Host    string        `json:"host"`
	Body    string        `json:"body"`
	Account string        `json:"account"`
	// Key is what the server got of the caller's key.
	Key string `json:"key,omitempty"`
	// Ran is false if the server turned it away. Continued ones go on with a run.
	Ran       bool `json:"ran,omitempty"`
	Continued bool `json:"continued,omitempty"`
	// Lost ones were to go on with what an earlier start of the server held.
	Lost bool `json:"lost,omitempty"`
	// Status, Proof and Text are the answer that the server gives.
	Status int    `json:"status"`
	Proof  string `json:"proof,omitempty"`
	Text   string `json:"text,omitempty"`
	// Limited is set if the answer names a limit, and Leaving if it says that the server leaves.
	Limited bool `json:"limited,omitempty"`
	Leaving bool `json:"leaving,omitempty"`
	// HoldOff is how long the answer asks the box to send nothing.
	HoldOff time.Duration `json:"holdOff,omitempty"`
}

// Limit is a time in which a server names the same limit in its answers.
type Limit struct {
	Server string `json:"server"`
	// PerSecond is the most requests a second that it takes from all boxes together.
	PerSecond float64       `json:"perSecond"`
	From      time.Duration `json:"from"`
	To        time.Duration `json:"to"`
}

// Work is a generation at one engine, from its beginning there to its end.
type Work struct {
	ID        string `json:"id"`
	Server    string `json:"server"`
	Continued bool   `json:"continued,omitempty"`
	// AnswerLost is set if the engine sends nothing of its answer.
	AnswerLost bool          `json:"answerLost,omitempty"`
	From       time.Duration `json:"from"`
	To         time.Duration `json:"to"`
}

// Version is a version of the configuration, once the store has taken it.
type Version struct {
	Number int64 `json:"number"`
	// Sent is when the operator sent it to the store, Acked when the store had taken it.
	Sent  time.Duration `json:"sent"`
	Acked time.Duration `json:"acked"`
	// Services is the service of each host's route, Accounts the account of each key.
	Services map[string]string `json:"services"`
	Accounts map[string]string `json:"accounts"`
}

// Leaving is a server of which the store has taken that it leaves.
type Leaving struct {
	Server string        `json:"server"`
	Acked  time.Duration `json:"acked"`
}

// Restart is a server that started again under its id, once the store has its new entry.
type Restart struct {
	Server string        `json:"server"`
	Acked  time.Duration `json:"acked"`
}

// End is a server that ended as it began to run a request.
type End struct {
	At     time.Duration `json:"at"`
	Server string        `json:"server"`
	// Request is the id of the attempt.
	Request string `json:"request"`
}

// Life is one process of a box.
type Life struct {
	Box    string        `json:"box"`
	Number int           `json:"number"`
	From   time.Duration `json:"from"`
	To     time.Duration `json:"to"`
	// Signalled is set if the soak told it to end; Stopped is when it first got
	// SIGTERM, or 0.
	Signalled bool          `json:"signalled,omitempty"`
	Stopped   time.Duration `json:"stopped,omitempty"`
	// End is how the process ended, as the operating system tells.
	End string `json:"end"`
}

// HangUp is a SIGHUP that a box got.
type HangUp struct {
	Box string        `json:"box"`
	At  time.Duration `json:"at"`
}

// Kept is what a box says that it kept at most for callers and servers that read slowly.
type Kept struct {
	Box  string        `json:"box"`
	Life int           `json:"life"`
	At   time.Duration `json:"at"`
	// Most is in bytes, since the process began.
	Most int64 `json:"most"`
}

// Phase is a point in the run.
type Phase struct {
	// Calm is when the last fault was over, End when callers ended.
	Calm time.Duration `json:"calm"`
	End  time.Duration `json:"end"`
}
