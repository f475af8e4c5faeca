package exchange

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// defaultIdle is how long a connection rests at most. Servers close
	// idle ones after 5 s or more, as is usual.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the idle time that a server states: it is the time
	// that a request may take to reach the server, with a retransmission.
	idleMargin = 500 * time.Millisecond
)

// idleTime is how long a connection may rest after an answer with this header. It is
// 0 if the connection must not be reused.
func idleTime(h http.Header) time.Duration {
	stated, ok := statedIdle(h["Keep-Alive"])
	if !ok {
		return defaultIdle
	}
	return max(0, min(defaultIdle, stated-idleMargin))
}

// statedIdle finds the timeout parameter, in whole seconds. One that can't be read
// counts as 0: the server does want to close the connection at some time.
func statedIdle(values []string) (time.Duration, bool) {
	for _, v := range values {
		for param := range strings.SplitSeq(v, ",") {
			name, text, _ := strings.Cut(strings.TrimSpace(param), "=")
			if strings.EqualFold(name, "timeout") {
				seconds, err := strconv.ParseUint(strings.TrimSpace(text), 10, 16)
				if err != nil {
					return 0, true
				}
				return time.Duration(seconds) * time.Second, true
			}
		}
	}
	return 0, false
}
