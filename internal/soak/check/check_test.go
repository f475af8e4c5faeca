package check

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/soak/bounds"
	"github.com/dalebend/dalebend/internal/soak/history"
)

// ms is a time in a history.
func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// event is what streams hold in these tests.
func event(id string, n int) string { return fmt.Sprintf("%s/%d;", id, n) }

// on returns the case of a history under the bounds of these tests: contact 3 s,
// drain and apply 2 s, a slack of 500 ms.
func on(h history.History) *Case { return NewCase(&h, bounds.Default(), event) }

// asked is a request for the host "once" that box a answered well.
func asked(id string, change func(q *history.Request)) history.Request {
	q := history.Request{
		ID: id, Method: http.MethodPost, Host: "once", URI: "/x", Body: "body", Key: "key", Account: "account",
		Box: "a", Life: 1, EndLife: 1, Sent: ms(10000), Done: ms(10100), Whole: true,
		Status: http.StatusOK, AnswerID: id, Proof: "proof " + id, Text: "text " + id,
	}
	if change != nil {
		change(&q)
	}
	return q
}

// came is the arrival of such a request at server s of service one.
func came(id string, change func(a *history.Arrival)) history.Arrival {
	a := history.Arrival{
		At: ms(10050), ID: id, Server: "s", Service: "one", Method: http.MethodPost, URI: "/x", Host: "once", Body: "body",
		Account: "account", Ran: true, Status: http.StatusOK, Proof: "proof " + id, Text: "text " + id,
	}
	if change != nil {
		change(&a)
	}
	return a
}

// version is a version with a service for the host "once", or without that route.
func version(number int64, acked time.Duration, service string) history.Version {
	v := history.Version{Number: number, Acked: acked, Services: map[string]string{}, Accounts: map[string]string{"key": "account"}}
	if service != "" {
		v.Services["once"] = service
	}
	return v
}

// trouble is one that strikes from one time to another.
func trouble(scope history.Scope, target string, from, to int) history.Trouble {
	return history.Trouble{Kind: "test", Scope: scope, Target: target, From: ms(from), To: ms(to)}
}

// refused makes a request one that was answered by the box itself.
func refused(status int) func(q *history.Request) {
	return func(q *history.Request) { q.Status, q.Proof, q.Text = status, "", "" }
}

// cut makes a request one whose connection ended without an answer.
func cut(q *history.Request) {
	q.Status, q.Proof, q.Text, q.Whole, q.Why = 0, "", "", false, "EOF"
}

// kept and broken require what a checker finds.
func kept(t *testing.T, c Checker, h history.History) {
	t.Helper()
	require.Empty(t, c(on(h)))
}

func broken(t *testing.T, c Checker, h history.History) {
	t.Helper()
	require.NotEmpty(t, c(on(h)))
}

// calm is a history in which nothing is wrong.
func calm() history.History {
	return history.History{
		Phase:    history.Phase{Calm: ms(8000), End: ms(11000)},
		Versions: []history.Version{version(1, 0, "one")},
		Requests: []history.Request{asked("q1", nil), asked("q2", nil)},
		Arrivals: []history.Arrival{came("q1", nil), came("q2", nil)},
		Lives:    []history.Life{{Box: "a", Number: 1, To: ms(13000), Signalled: true}},
	}
}

func TestACalmHistoryKeepsAllPromises(t *testing.T) {
	h := calm()
	require.Empty(t, on(h).Run())
	h.Requests[0].Surplus = true
	found := on(h).Run()
	require.Len(t, found, 1)
	require.Equal(t, "whole answers at 10.1s: q1 (status 200, box a): bytes that belong to no request came after the answer", found[0].String())
}

func TestWhole(t *testing.T) {
	for name, change := range map[string]func(q *history.Request){
		"of another":         func(q *history.Request) { q.AnswerID = "q2" },
		"no proof":           func(q *history.Request) { q.Proof = "" },
		"altered":            func(q *history.Request) { q.Text = "text" },
		"proof of another":   func(q *history.Request) { q.Proof, q.Text = "proof q2", "text q2" },
		"another status":     func(q *history.Request) { q.Status = http.StatusInternalServerError },
		"surplus":            func(q *history.Request) { q.Surplus = true },
		"surplus when empty": func(q *history.Request) { q.Status, q.Surplus = 0, true },
	} {
		t.Run(name, func(t *testing.T) {
			h := calm()
			change(&h.Requests[0])
			broken(t, Whole, h)
		})
	}
	for name, change := range map[string]func(q *history.Request){
		"cut":              cut,
		"torn and seen so": func(q *history.Request) { q.Whole, q.Text = false, "te" },
		"a failure of ours": func(q *history.Request) {
			q.Status, q.Proof, q.Text = http.StatusBadGateway, "", "no server"
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := calm()
			change(&h.Requests[0])
			kept(t, Whole, h)
		})
	}
}

func TestOrder(t *testing.T) {
	stream := func(text string, whole bool) history.History {
		return history.History{Requests: []history.Request{asked("q", func(q *history.Request) {
			q.Events, q.Text, q.Whole = 3, text, whole
		})}}
	}
	kept(t, Order, stream("q/1;q/2;q/3;", true))
	kept(t, Order, stream("q/1;q/2;", false))
	kept(t, Order, stream("q/1;q", false))
	kept(t, Order, stream("", false))
	broken(t, Order, stream("q/1;q/2;", true))
	broken(t, Order, stream("", true))
	broken(t, Order, stream("q/1;q/3;", false))
	broken(t, Order, stream("q/1;q/1;q/2;q/3;", true))
	broken(t, Order, stream("q/2;", false))
	broken(t, Order, stream("q/1;p/2;q/3;", true))
	broken(t, Order, stream("q/1;q/2;q/3;q/4;", true))
}

func TestOnce(t *testing.T) {
	h := calm()
	again := came("q1", func(a *history.Arrival) { a.Server = "t" })
	h.Arrivals = append(h.Arrivals, again)
	broken(t, Once, h)
	h.Requests[0].Repeatable = true
	kept(t, Once, h)
	h.Requests[0].Repeatable = false
	h.Arrivals[2].Ran = false
	kept(t, Once, h)
	h.Arrivals[2].Ran, h.Arrivals[2].Continued = true, true
	kept(t, Once, h)
}

func TestNotRun(t *testing.T) {
	for _, status := range []int{429, 503, 408, 421} {
		h := calm()
		refused(status)(&h.Requests[0])
		broken(t, NotRun, h)
		h.Arrivals[0].At = ms(20000)
		broken(t, NotRun, h)
		h.Arrivals[0].Ran = false
		kept(t, NotRun, h)
	}
	for _, status := range []int{0, 500, 502, 504} {
		h := calm()
		refused(status)(&h.Requests[0])
		kept(t, NotRun, h)
	}
}

func TestAsked(t *testing.T) {
	for name, change := range map[string]func(a *history.Arrival){
		"unknown": func(a *history.Arrival) { a.ID = "q9" },
		"method":  func(a *history.Arrival) { a.Method = http.MethodPut },
		"path":    func(a *history.Arrival) { a.URI = "/" },
		"host":    func(a *history.Arrival) { a.Host = "" },
		"body":    func(a *history.Arrival) { a.Body = "" },
		"account": func(a *history.Arrival) { a.Account = "" },
		"key":     func(a *history.Arrival) { a.Key = "key" },
	} {
		t.Run(name, func(t *testing.T) {
			h := calm()
			change(&h.Arrivals[0])
			broken(t, Asked, h)
			h.Arrivals[0].Ran = false
			kept(t, Asked, h)
		})
	}
}

func TestDrain(t *testing.T) {
	h := calm()
	h.Leavings = []history.Leaving{{Server: "s", Acked: ms(7000)}}
	broken(t, Drain, h)
	for name, d := range map[string]history.Trouble{
		"box":    trouble(history.OnBox, "a", 3900, 4100),
		"store":  trouble(history.OnStore, "", 8000, 8100),
		"link":   trouble(history.OnStoreLink, "a", 8000, 8100),
		"server": trouble(history.OnServer, "s", 7100, 7200),
		"paths":  trouble(history.OnServerPaths, "a", 7100, 7200),
		"soak":   trouble(history.OnAll, "", 7100, 7200),
	} {
		t.Run(name, func(t *testing.T) {
			h.Troubles = []history.Trouble{d}
			kept(t, Drain, h)
		})
	}
	h.Troubles = []history.Trouble{
		trouble(history.OnBox, "b", 0, 20000), trouble(history.OnServer, "t", 0, 20000),
		trouble(history.OnBox, "a", 0, 3900), trouble(history.OnServer, "s", 0, 7000), trouble(history.OnBox, "a", 10060, 10070),
	}
	broken(t, Drain, h)
	h.Leavings[0].Acked = ms(7600)
	kept(t, Drain, h)
	h.Leavings[0].Server = "t"
	kept(t, Drain, h)
}

func TestConfig(t *testing.T) {
	moved := calm()
	moved.Versions = append(moved.Versions, version(4, ms(7400), "two"))
	dropped := calm()
	dropped.Versions = append(dropped.Versions, version(4, ms(7400), ""))
	revoked := calm()
	revoked.Versions = append(revoked.Versions, version(4, ms(7400), "one"))
	revoked.Versions[1].Accounts = nil
	for _, h := range []history.History{moved, dropped, revoked} {
		broken(t, Config, h)
		h.Troubles = []history.Trouble{trouble(history.OnBox, "a", 8000, 8001)}
		kept(t, Config, h)
		h.Troubles = nil
		h.Versions[1].Acked = ms(7600)
		kept(t, Config, h)
	}
}

func TestConfigOfRefusals(t *testing.T) {
	for status, change := range map[int]func(v *history.Version){
		http.StatusNotFound:     func(v *history.Version) { v.Services = nil },
		http.StatusUnauthorized: func(v *history.Version) { v.Accounts = nil },
	} {
		h := calm()
		h.Arrivals = nil
		refused(status)(&h.Requests[0])
		broken(t, Config, h)
		h.Troubles = []history.Trouble{trouble(history.OnBox, "a", 9000, 9001)}
		broken(t, Config, h)
		h.Versions = append(h.Versions, version(2, ms(10090), "one"))
		change(&h.Versions[1])
		kept(t, Config, h)
	}
}

func TestReverts(t *testing.T) {
	h := calm()
	h.Versions = append(h.Versions, version(2, ms(9000), "two"))
	h.Arrivals[0].Service = "two"
	h.Requests[1].Sent, h.Requests[1].Done, h.Arrivals[1].At = ms(10400), ms(10500), ms(10450)
	broken(t, Reverts, h)
	h.Requests[1].Sent = ms(10290)
	kept(t, Reverts, h)
	h.Requests[1].Sent = ms(10400)
	h.Troubles = []history.Trouble{trouble(history.OnBox, "a", 9000, 9001)}
	kept(t, Reverts, h)
	h.Requests[1].Sent, h.Requests[1].Done, h.Arrivals[1].At = ms(12100), ms(12500), ms(12450)
	broken(t, Reverts, h)
	h.Requests[1].Life, h.Requests[1].EndLife = 2, 2
	kept(t, Reverts, h)
	h.Requests[1].Life, h.Requests[1].EndLife, h.Requests[1].Box = 1, 1, "b"
	kept(t, Reverts, h)
}

func TestBudget(t *testing.T) {
	const requests, allowed = 50, 18 // 0.2 x 50 + 8
	var h history.History
	h.Versions = []history.Version{version(1, 0, "one")}
	for n := range requests {
		id := fmt.Sprint("q", n)
		h.Requests = append(h.Requests, asked(id, nil))
		h.Arrivals = append(h.Arrivals, came(id, nil))
		if n < allowed {
			h.Arrivals = append(h.Arrivals, came(id, func(a *history.Arrival) { a.Ran = false }))
		}
	}
	kept(t, Budget, h)
	h.Arrivals = append(h.Arrivals, came("q49", nil))
	broken(t, Budget, h)
	h.Arrivals[len(h.Arrivals)-1].At = ms(20051)
	kept(t, Budget, h)
	h.Arrivals[len(h.Arrivals)-1].At = ms(20049)
	broken(t, Budget, h)
	h.Arrivals[len(h.Arrivals)-1].Service = "two"
	kept(t, Budget, h)
}

// stopping is a history in which box a is told to stop at 9 s and cuts q1.
func stopping() history.History {
	h := calm()
	h.Lives[0].Stopped = ms(9000)
	h.Troubles = []history.Trouble{{Kind: history.Stop, Scope: history.OnBox, Target: "a", From: ms(9000), To: ms(13000)}}
	cut(&h.Requests[0])
	return h
}

func TestEnds(t *testing.T) {
	h := calm()
	kept(t, Ends, h)
	h.Lives[0].Signalled = false
	broken(t, Ends, h)
}

func TestRecovers(t *testing.T) {
	h := calm()
	late := func(n int, sent int, change func(q *history.Request)) {
		for range n {
			h.Requests = append(h.Requests, asked("late", func(q *history.Request) {
				q.Sent, q.Done = ms(sent), ms(sent+10)
				if change != nil {
					change(q)
				}
			}))
		}
	}
	h.Phase.End = ms(12000)
	broken(t, Recovers, h)
	late(1, 11500, nil)
	kept(t, Recovers, h)
	late(3, 11500, refused(http.StatusServiceUnavailable))
	kept(t, Recovers, h)
	late(1, 11500, cut)
	broken(t, Recovers, h)
	// What counts in a longer run is the time past the bound.
	h.Phase.End = ms(40000)
	late(4, 20100, nil)
	kept(t, Recovers, h)
}
