package exchange

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Target identifies one instance of a backend server.
type Target struct {
	// Key is the id of the instance. Connections are reused only under the key that they were
	// dialed for.
	Key string
	// Addr is the server's HOST:PORT.
	Addr string
	// MaxConns bounds the open connections to this instance, including idle ones. 0 is unbounded.
	MaxConns int
}

// Request is a request to be written. The caller must not change Body until the exchange has failed
// or the body of its response is closed.
type Request struct {
	// Method, URI (path and query) and Host are sent unchanged.
	Method, URI, Host string
	// Header is written unchanged, except for Host, Content-Length and Transfer-Encoding, which
	// this package sets.
	Header http.Header
	Body   []byte
	// HasBody sends Content-Length even when Body is empty.
	HasBody bool
	// Matches reports whether an answer with this header belongs to the request. Nil accepts any
	// answer.
	Matches func(http.Header) bool
	// ID is the id that the caller gave the request, for logs; it is not sent by itself.
	ID string
	// Account is the client account that the request is made for, and Service the service that it is sent
	// to. Model and Segments are the model that reads its prompt and the segments of that which other
	// requests may have too. None of them is sent.
	Account, Service, Model string
	Segments                []string
	// Continues is set for a request that continues work already running at a server and is no new
	// work. It is not sent.
	Continues bool
	// BeforeSend is called once a connection is available. If it returns an error, nothing is sent.
	// It may be nil.
	BeforeSend func() error
	// MaxIdle limits reuse to connections that were idle for less than this. 0 allows any
	// connection that is reusable.
	MaxIdle time.Duration
}

// matches reports whether the answer belongs to the request.
func (r *Request) matches(h http.Header) bool {
	return r.Matches == nil || r.Matches(h)
}

// beforeSend returns the reason for not sending the request, or nil.
func (r *Request) beforeSend() error {
	if r.BeforeSend == nil {
		return nil
	}
	return r.BeforeSend()
}

// validate rejects values that would allow request smuggling.
func (r *Request) validate() error {
	switch {
	case !isToken(r.Method):
		return &invalidRequestError{what: "method"}
	case !isVisible(r.URI):
		return &invalidRequestError{what: "URI"}
	case !isVisible(r.Host):
		return &invalidRequestError{what: "host"}
	}
	for name, values := range r.Header {
		if !isToken(name) {
			return &invalidRequestError{what: "header name"}
		}
		for _, v := range values {
			if !isFieldValue(v) {
				return &invalidRequestError{what: "value of header " + name}
			}
		}
	}
	return nil
}

// appendHead appends the request line and the header to buf.
func (r *Request) appendHead(buf []byte) []byte {
	buf = append(buf, r.Method...)
	buf = append(buf, ' ')
	buf = append(buf, r.URI...)
	buf = append(buf, " HTTP/1.1\r\n"...)
	buf = appendField(buf, "Host", r.Host)
	for name, values := range r.Header {
		if isManagedField(name) {
			continue
		}
		for _, v := range values {
			buf = appendField(buf, name, v)
		}
	}
	if r.HasBody || len(r.Body) > 0 {
		buf = append(buf, "Content-Length: "...)
		buf = strconv.AppendInt(buf, int64(len(r.Body)), 10)
		buf = append(buf, "\r\n"...)
	}
	return append(buf, "\r\n"...)
}

func appendField(buf []byte, name, value string) []byte {
	buf = append(buf, name...)
	buf = append(buf, ": "...)
	buf = append(buf, value...)
	return append(buf, "\r\n"...)
}

// isManagedField reports whether this package sets the header field. A second copy from the caller
// could change where the request ends.
func isManagedField(name string) bool {
	return strings.EqualFold(name, "Host") ||
		strings.EqualFold(name, "Content-Length") ||
		strings.EqualFold(name, "Transfer-Encoding")
}
