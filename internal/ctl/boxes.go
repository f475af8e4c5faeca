package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dalebend/dalebend/internal/boxlist"
	"github.com/dalebend/dalebend/internal/control"
	"github.com/dalebend/dalebend/internal/journal"
	"github.com/dalebend/dalebend/internal/settings"
)

const (
	askTimeout = 2 * time.Second
	askEvery   = 100 * time.Millisecond
	// askAtOnce bounds the boxes that are asked at the same time.
	askAtOnce = 32
)

// entryBoxes returns the live boxes that have a controller.
func (c *Command) entryBoxes() ([]boxlist.Box, error) {
	list, err := c.boxes.Read()
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(list.Boxes, func(b boxlist.Box) bool {
		return b.Role != boxlist.RoleEntry || b.State != boxlist.StateLive || b.Control == ""
	}), nil
}

// ask calls every box and gives each answer, or error, to take, one at a time.
func (c *Command) ask(boxes []boxlist.Box, one func(boxlist.Box) error, take func(boxlist.Box, error)) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, askAtOnce)
	for _, b := range boxes {
		slots <- struct{}{}
		wg.Go(func() {
			err := one(b)
			<-slots
			mu.Lock()
			defer mu.Unlock()
			take(b, err)
		})
	}
	wg.Wait()
}

// boxStatus is one line of status.
type boxStatus struct {
	Box    string               `json:"box"`
	Error  string               `json:"error,omitempty"`
	Status *control.StatusReply `json:"status,omitempty"`
}

// statusList is the result of status.
type statusList struct {
	Accepted uint64      `json:"accepted_version"`
	Boxes    []boxStatus `json:"boxes"`
}

func (r *statusList) text(w io.Writer) {
	if r.Accepted > 0 {
		fmt.Fprintf(w, "accepted version %d\n", r.Accepted)
	}
	for _, b := range r.Boxes {
		if b.Status == nil {
			fmt.Fprintf(w, "%-16s does not answer: %s\n", b.Box, b.Error)
			continue
		}
		s := b.Status
		fmt.Fprintf(w, "%-16s %-16s version %-6d boxes %-4d watcher %-5t store-down %-5t isolated %t\n",
			b.Box, s.Domain, s.Version, s.Boxes, s.Watcher, s.StoreDown, s.Isolated)
		for _, n := range s.Notes {
			fmt.Fprintf(w, "    %s\n", n)
		}
	}
}

func (c *Command) status(ctx context.Context) (result, error) {
	boxes, err := c.entryBoxes()
	if err != nil {
		return nil, err
	}
	list := c.statusOf(ctx, boxes)
	if c.Settings.ObjectAPI != "" {
		if p, _, err := c.store.Current(); err == nil {
			list.Accepted = p.Version
		}
	}
	return list, nil
}

func (c *Command) statusOf(ctx context.Context, boxes []boxlist.Box) *statusList {
	list := &statusList{Boxes: []boxStatus{}}
	replies := sync.Map{}
	c.ask(boxes, func(b boxlist.Box) error {
		reply := &control.StatusReply{}
		err := c.call(ctx, b, control.MethodStatus, &control.StatusArgs{}, reply)
		replies.Store(b.Name, reply)
		return err
	}, func(b boxlist.Box, err error) {
		line := boxStatus{Box: b.Name}
		if err != nil {
			line.Error = err.Error()
		} else if reply, ok := replies.Load(b.Name); ok {
			line.Status, _ = reply.(*control.StatusReply)
		}
		list.Boxes = append(list.Boxes, line)
	})
	slices.SortFunc(list.Boxes, func(a, b boxStatus) int { return strings.Compare(a.Box, b.Box) })
	return list
}

// call makes one call to a box's controller.
func (c *Command) call(ctx context.Context, b boxlist.Box, method string, args, reply any) error {
	client, err := c.peer(b)
	if err != nil {
		return err
	}
	defer client.Close()
	return client.Call(ctx, method, args, reply, askTimeout)
}

// waitInForce asks the boxes until all of them have the version in force.
func (c *Command) waitInForce(ctx context.Context, r *applied, timeout time.Duration) error {
	began := c.Clock.Now()
	for {
		boxes, err := c.entryBoxes()
		if err != nil {
			return err
		}
		r.Boxes, r.InForce = len(boxes), 0
		for _, b := range c.statusOf(ctx, boxes).Boxes {
			if b.Status != nil && b.Status.Version >= r.Version {
				r.InForce++
			}
		}
		r.Took = c.Clock.Since(began)
		if r.InForce == r.Boxes {
			return nil
		}
		if r.Took > timeout {
			return fmt.Errorf("%w: version %d is in force on %d of %d boxes", errWaitOver, r.Version, r.InForce, r.Boxes)
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-c.Clock.After(askEvery):
		}
	}
}

// story is the result of explain.
type story struct {
	Events  []storyEvent `json:"events"`
	Missing []string     `json:"boxes_that_did_not_answer"`
}

type storyEvent struct {
	journal.Event

	Box string `json:"box"`
}

func (r *story) text(w io.Writer) {
	for _, e := range r.Events {
		fmt.Fprintf(w, "%s  %-12s %-18s", e.At.Format("15:04:05.000"), e.Box, e.Kind)
		for _, part := range []string{e.Request, e.Account, e.Server, e.Reason} {
			if part != "" {
				fmt.Fprintf(w, "  %s", part)
			}
		}
		fmt.Fprintln(w)
	}
	if len(r.Events) == 0 {
		fmt.Fprintln(w, "no box remembers a decision on this")
	}
	for _, m := range r.Missing {
		fmt.Fprintf(w, "no answer from %s\n", m)
	}
}

func (c *Command) explain(ctx context.Context, cmd *settings.ExplainCmd) (result, error) {
	boxes, err := c.entryBoxes()
	if err != nil {
		return nil, err
	}
	out := &story{Events: []storyEvent{}}
	replies := sync.Map{}
	c.ask(boxes, func(b boxlist.Box) error {
		reply := &control.ExplainReply{}
		err := c.call(ctx, b, control.MethodExplain, &control.ExplainArgs{Request: cmd.Request, Limit: cmd.Limit}, reply)
		replies.Store(b.Name, reply)
		return err
	}, func(b boxlist.Box, err error) {
		reply, ok := replies.Load(b.Name)
		if err != nil || !ok {
			out.Missing = append(out.Missing, b.Name)
			return
		}
		for _, e := range reply.(*control.ExplainReply).Events {
			out.Events = append(out.Events, storyEvent{Event: e, Box: b.Name})
		}
	})
	slices.SortStableFunc(out.Events, func(a, b storyEvent) int { return a.At.Compare(b.At) })
	return out, nil
}
