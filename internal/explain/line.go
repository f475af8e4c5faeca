package explain

import (
	"bytes"
	"encoding/json"
	"errors"
	"time"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

// line is one line of a decision log; missing keys are zero or nil. The tags are the keys of
// package event.
type line struct {
	Time  time.Time  `json:"time"`
	Event event.Name `json:"event"`
	Box   string     `json:"box"`

	Request string `json:"request"`
	// Fingerprint is common to all attempts of a request, or that of a prompt segment.
	Fingerprint string `json:"fingerprint"`
	Segment     string `json:"segment"`
	Route       string `json:"route"`
	Account     string `json:"account"`
	Status      int    `json:"status"`
	Reason      string `json:"reason"`
	Cause       string `json:"cause"`
	Causes      names  `json:"causes"`
	Stage       string `json:"stage"`
	Source      string `json:"source"`

	Server     string `json:"server"`
	From       string `json:"from"`
	To         string `json:"to"`
	Backup     string `json:"backup"`
	Way        string `json:"way"`
	Attempt    int    `json:"attempt"`
	Candidates int    `json:"candidates"`
	Events     int    `json:"events"`
	Moves      int    `json:"moves"`

	PerhapsRun *bool  `json:"perhaps_run"`
	RetryAfter *int64 `json:"retry_after_ms"`
	Pause      *int64 `json:"pause_ms"`
	Elapsed    *int64 `json:"ms"`
	// ExpectedFirst is the expected time to first event, and PendingPrefill the prompt tokens to be
	// prefilled before it.
	ExpectedFirst  *int64 `json:"expected_first_ms"`
	PendingPrefill int    `json:"unread_tokens"`
	// Within is the maximum of ExpectedFirst with which the generation is admitted.
	Within *int64 `json:"within_ms"`
	// Returned is set for a returning caller, OverShare for an account that used more than its
	// share.
	Returned  bool `json:"returned"`
	OverShare bool `json:"over_share"`

	ConfigVersion *int64 `json:"config_version"`
	ConfigAge     *int64 `json:"config_age_ms"`
	ViewRevision  *int64 `json:"view_revision"`
	ViewAge       *int64 `json:"view_age_ms"`
	Version       *int64 `json:"version"`

	// Domains are failure domains, separated by spaces.
	Domains string `json:"failure_domains"`

	Gone    names `json:"gone"`
	Ended   names `json:"ended"`
	Leaving names `json:"leaving"`

	QueueFull  int `json:"queue_full"`
	OverBudget int `json:"over_budget"`
}

// parseLine parses the JSON object of a line, which may have a prefix from a log collector. It
// returns false for text that isn't a line of the decision log.
func parseLine(text []byte) (*line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return nil, false
	}
	l := &line{}
	err := json.Unmarshal(text[begin:], l)
	var wrongType *json.UnmarshalTypeError
	if err != nil && !errors.As(err, &wrongType) {
		return nil, false
	}
	// A value of another type leaves its field empty; the rest of the line is used.
	return l, l.Event != "" && !l.Time.IsZero()
}

// servers returns every backend server that the line names.
func (l *line) servers() []string {
	var all []string
	for _, s := range []string{l.Server, l.From, l.To, l.Backup} {
		if s != "" {
			all = append(all, s)
		}
	}
	return all
}

// mayHaveRun reports whether the failed attempt may have run at its server.
func (l *line) mayHaveRun() bool {
	if l.PerhapsRun != nil {
		return *l.PerhapsRun
	}
	return !neverSent(l.Stage)
}
