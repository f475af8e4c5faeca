package front_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/routetable"
	"github.com/dalebend/dalebend/internal/streaming"
	"github.com/dalebend/dalebend/internal/unary"
)

// TestTargetAsSent: path and query reach the server byte by byte.
func TestTargetAsSent(t *testing.T) {
	r := newRig(t)
	jobs := r.capture()
	for _, uri := range []string{
		"/", "/a/b", "/a//b", "/a/../b", "/./a", "/a%2Fb", "/a%2fb", "/%7Ea", "/a;b=c", "/a?", "/a?x=1&y=%20+", "/a?b?c",
		"/a?x=|", "/a|b", "/a[b]", "/a{b}", "/a^b", "/a\"b", "/a'b", "/a<b>", "/a\\b", "/a`b", "/a#b", "//a/b", "/a+b",
		"/a:b@c", "/a%C3%A9",
	} {
		got := r.get("plain.test", uri)
		require.Equal(t, http.StatusOK, got.StatusCode, uri)
		j := <-jobs
		path, _, _ := strings.Cut(uri, "?")
		require.Equal(t, uri, j.Request.URI)
		require.Equal(t, path, j.Request.Path)
	}
}

// TestAbsoluteForm: of a target in absolute form only path and query are passed on.
func TestAbsoluteForm(t *testing.T) {
	r := newRig(t)
	jobs := r.capture()
	got := r.get("plain.test", "http://plain.test/a%2Fb?c")
	require.Equal(t, http.StatusOK, got.StatusCode)
	j := <-jobs
	require.Equal(t, "/a%2Fb?c", j.Request.URI)
	require.Equal(t, "/a%2Fb", j.Request.Path)
}

// TestNoRoute guards against a success that no server gave: for a target that no route can match, such as that of "OPTIONS *".
func TestNoRoute(t *testing.T) {
	r := newRig(t)
	for _, c := range [][2]string{{"OPTIONS *", "plain.test"}, {"OPTIONS *", "nowhere.test"}, {"GET *", "plain.test"}, {"OPTIONS /a", "nowhere.test"}} {
		got := r.call().send(c[0] + " HTTP/1.1\nHost: " + c[1] + "\nX-Id: q\nContent-Length: 0\n\n").read()
		require.Equal(t, http.StatusNotFound, got.StatusCode, "%s", c)
		require.Equal(t, "q", got.Header.Get(headerID), "%s", c)
	}
}

// TestRequestAsSent: method, host, headers and body are passed on unchanged.
func TestRequestAsSent(t *testing.T) {
	r := newRig(t)
	jobs := r.capture()
	r.call().send("PURGE /a HTTP/1.1\nHost: Plain.Test:8080\nX-Id: q7\nX-A: 1\nX-A: 2\nContent-Length: 3\n\na\nb").read()
	q := (<-jobs).Request
	require.Equal(t, "PURGE", q.Method)
	require.Equal(t, "Plain.Test", q.Host)
	require.Equal(t, "q7", q.ID)
	require.Equal(t, []string{"1", "2"}, q.Header["X-A"])
	require.Equal(t, "a\nb", string(q.Body))
	require.True(t, q.HasBody)
	require.Equal(t, r.clock.Now(), q.Arrived)
}

// TestRoute: the longest prefix on the host wins.
func TestRoute(t *testing.T) {
	r := newRig(t)
	jobs := r.capture()
	for path, name := range map[string]string{"/": "plain", "/quick": "plain", "/quick/": "quick", "/quick/a": "quick", "/a/quick/": "plain"} {
		r.get("plain.test", path)
		j := <-jobs
		require.Equal(t, name, j.Route.Name, path)
		require.Equal(t, "plain", j.Service.Name)
	}
}

// TestBodies: bodies with a length and in chunks are accepted up to the limit.
func TestBodies(t *testing.T) {
	r := newRig(t)
	s := spec()
	s.Limits.BodyBytes = 10
	r.use(s)
	jobs := r.capture()
	const head = "POST /a HTTP/1.1\nHost: plain.test\nX-Id: q1\n"
	for name, c := range map[string]struct {
		text    string
		status  int
		body    string
		hasBody bool
	}{
		"none":                 {text: head + "\n", status: 200},
		"empty":                {text: head + "Content-Length: 0\n\n", status: 200},
		"length":               {text: head + "Content-Length: 5\n\nabcde", status: 200, body: "abcde", hasBody: true},
		"longest":              {text: head + "Content-Length: 10\n\n0123456789", status: 200, body: "0123456789", hasBody: true},
		"too long":             {text: head + "Content-Length: 11\n\n0123456789a", status: 413},
		"chunks":               {text: head + "Transfer-Encoding: chunked\n\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n", status: 200, body: "abcde", hasBody: true},
		"longest in chunks":    {text: head + "Transfer-Encoding: chunked\n\na\r\n0123456789\r\n0\r\n\r\n", status: 200, body: "0123456789", hasBody: true},
		"too long in chunks":   {text: head + "Transfer-Encoding: chunked\n\n9\r\n012345678\r\n2\r\nab\r\n0\r\n\r\n", status: 413},
		"no chunk":             {text: head + "Transfer-Encoding: chunked\n\nzz\r\n", status: 408},
		"nothing in chunks":    {text: head + "Transfer-Encoding: chunked\n\n0\r\n\r\n", status: 200, hasBody: true},
		"two lengths":          {text: head + "Content-Length: 1\nContent-Length: 2\n\nab", status: 400},
		"unknown encoding":     {text: head + "Transfer-Encoding: other\n\nab", status: 501},
		"length and in chunks": {text: head + "Content-Length: 3\nTransfer-Encoding: chunked\n\n1\r\na\r\n0\r\n\r\n", status: 200, body: "a", hasBody: true},
	} {
		t.Run(name, func(t *testing.T) {
			got := r.call().send(c.text).read()
			require.Equal(t, c.status, got.StatusCode)
			if c.status != http.StatusOK {
				require.Empty(t, jobs, "it must not be sent on")
				return
			}
			q := (<-jobs).Request
			require.Equal(t, c.body, string(q.Body))
			require.Equal(t, c.hasBody, q.HasBody)
		})
	}
}

// TestBodyStops: a body that stalls is given up at the deadline, and one whose caller leaves is not
// sent to a server.
func TestBodyStops(t *testing.T) {
	const torn = "POST /a HTTP/1.1\nHost: plain.test\nX-Id: q1\nContent-Length: 5\n\nab"
	// Connection deadlines use the real clock; all deadlines at this fake time have passed.
	r := newRigAt(t, time.Unix(1000, 0))
	jobs := r.capture()
	defer func() { require.Empty(t, jobs) }()
	got := r.call().send(torn).read()
	require.Equal(t, http.StatusRequestTimeout, got.StatusCode)
	require.Equal(t, "q1", got.Header.Get(headerID))

	r = newRig(t)
	left := r.capture()
	c := r.call().send(torn)
	require.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
	c.awaitClosed()
	require.Empty(t, left)
}

// TestUnknown: unknown routes and keys are refused permanently only if the configuration is the
// newest.
func TestUnknown(t *testing.T) {
	r := newRig(t)
	s := spec()
	s.HasAccounts = true
	s.Keys = map[string]routetable.Account{"k1": {Name: "acme"}}
	r.use(s)
	for name, c := range map[string]struct {
		host, path, key string
		status          int
	}{
		"host":   {host: "other.test", path: "/", key: "k1", status: http.StatusNotFound},
		"path":   {host: "quick.test", path: "/a", key: "k1", status: http.StatusNotFound},
		"key":    {host: "plain.test", path: "/", key: "k2", status: http.StatusUnauthorized},
		"no key": {host: "plain.test", path: "/", status: http.StatusUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			header := headerKey + ": " + c.key
			r.recent.Store(true)
			got := r.get(c.host, c.path, header)
			require.Equal(t, c.status, got.StatusCode)
			require.Empty(t, got.Header.Get("Retry-After"))
			require.Equal(t, "q1", got.Header.Get(headerID))

			r.recent.Store(false)
			got = r.get(c.host, c.path, header)
			require.Equal(t, http.StatusServiceUnavailable, got.StatusCode)
			require.Equal(t, "0.400", got.Header.Get("Retry-After"))
			require.Equal(t, "q1", got.Header.Get(headerID))
		})
	}
	require.Equal(t, http.StatusOK, r.get("plain.test", "/", headerKey+": k1").StatusCode, "a view that is old but knows")
}

// TestNoConfiguration: before a configuration is known, nothing is refused permanently.
func TestNoConfiguration(t *testing.T) {
	r := newRig(t)
	r.table.Store(nil)
	got := r.get("plain.test", "/")
	require.Equal(t, http.StatusServiceUnavailable, got.StatusCode)
	require.Equal(t, "0.400", got.Header.Get("Retry-After"))
	require.Equal(t, "application/json", got.Header.Get("Content-Type"))
	require.JSONEq(t, `{"error":"no configuration is known yet"}`, got.text)
}

// TestUnreadable: an unreadable header is reported as the caller's error.
func TestUnreadable(t *testing.T) {
	r := newRig(t)
	got := r.get("plain.test", "/", headerBad+": 1")
	require.Equal(t, http.StatusBadRequest, got.StatusCode)
	require.Equal(t, "q1", got.Header.Get(headerID))
}

// TestAccount: the account of a key is passed on with the request, and its priority overrides that
// of the route.
func TestAccount(t *testing.T) {
	r := newRig(t)
	s := spec()
	s.HasAccounts = true
	s.Routes[0].Anonymous = true
	s.Keys = map[string]routetable.Account{
		"k1": {Name: "acme"}, "k2": {Name: "first", Priority: 0, HasPriority: true},
	}
	r.use(s)
	jobs := r.capture()
	for key, account := range map[string]string{"": "", "k9": "", "k1": "acme"} {
		require.Equal(t, http.StatusOK, r.get("plain.test", "/", headerKey+": "+key).StatusCode)
		require.Equal(t, account, (<-jobs).Account)
	}
	ranks := make(chan int, 1)
	r.Streams = streams(func(_ context.Context, j *streaming.Job, s streaming.Sink) error {
		ranks <- j.Priority
		s.Head(http.StatusOK, http.Header{})
		return nil
	})
	for key, rank := range map[string]int{"k1": 4, "k2": 0} {
		r.get("chat.test", "/", headerKey+": "+key)
		require.Equal(t, rank, <-ranks, key)
	}
}

// TestHomes: the regions of both the route and the account restrict a request.
func TestHomes(t *testing.T) {
	r := newRig(t)
	s := spec()
	s.HasAccounts = true
	s.Routes[0].AllowedRegions = routetable.NewAllowedRegions([]string{"east", "west"})
	s.Keys = map[string]routetable.Account{
		"k1": {Name: "anywhere"}, "k2": {Name: "west", AllowedRegions: routetable.NewAllowedRegions([]string{"west", "north"})},
	}
	r.use(s)
	jobs := r.capture()
	for key, allowed := range map[string][]string{"k1": {"east", "west"}, "k2": {"west"}} {
		require.Equal(t, http.StatusOK, r.get("plain.test", "/", headerKey+": "+key).StatusCode)
		homes := (<-jobs).Regions
		for _, region := range []string{"east", "west", "north"} {
			require.Equal(t, slices.Contains(allowed, region), homes.Allow(region), "%s %s", key, region)
		}
	}
}

// TestDeadline: the earlier of the caller's and the route's deadline applies.
func TestDeadline(t *testing.T) {
	r := newRig(t)
	jobs := r.capture()
	for _, c := range []struct {
		path, wait string
		want       time.Duration
	}{
		{path: "/", want: 30 * time.Second},
		{path: "/", wait: "400ms", want: 400 * time.Millisecond},
		{path: "/", wait: "90s", want: 90 * time.Second},
		{path: "/quick/", want: 2 * time.Second},
		{path: "/quick/", wait: "1s", want: time.Second},
		{path: "/quick/", wait: "3s", want: 2 * time.Second},
	} {
		r.get("plain.test", c.path, headerWait+": "+c.wait)
		require.Equal(t, c.want, (<-jobs).Deadline.Sub(r.clock.Now()), fmt.Sprint(c))
	}
}

// TestKeptConnection: each request on a reused connection gets its own answer.
func TestKeptConnection(t *testing.T) {
	r := newRig(t)
	r.Unary = singles(func(_ context.Context, j *unary.Job) (*unary.Answer, error) {
		a := answer(http.StatusOK, "answer to "+j.Request.ID+string(j.Request.Body))
		a.Header[headerID] = []string{j.Request.ID}
		return a, nil
	})
	c := r.call()
	c.send("POST /a HTTP/1.1\nHost: plain.test\nX-Id: q1\nContent-Length: 2\n\n!!GET /b HTTP/1.1\r\nHost: plain.test\r\nX-Id: q2\r\n\r\n")
	require.Equal(t, "answer to q1!!", c.read().text)
	require.Equal(t, "answer to q2", c.read().text)
	got := c.send("GET /b HTTP/1.1\nHost: other.test\nX-Id: q3\n\n").read()
	require.Equal(t, "q3", got.Header.Get(headerID))
	require.False(t, got.Close)
	require.Equal(t, "answer to q4", c.send("GET /b HTTP/1.1\nHost: plain.test\nX-Id: q4\n\n").read().text)
}
