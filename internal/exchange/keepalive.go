package exchange

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxIdleTime bounds the idle time of a connection. Servers usually close idle ones after 5 s
	// or more.
	maxIdleTime = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that a server states: the time that a request
	// may take to reach the server, including a retransmission.
	idleMargin = 500 * time.Millisecond
)

// idleTime returns how long a connection may be idle after an answer with this header, 0 if it must
// not be reused.
func idleTime(h http.Header) time.Duration {
	stated, ok := statedIdle(h["Keep-Alive"])
	if !ok {
		return maxIdleTime
	}
	return max(0, min(maxIdleTime, stated-idleMargin))
}

// statedIdle returns the timeout parameter, in whole seconds. An unreadable one counts as 0, since
// the server does want to close the connection at some time.
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
