package storewatch

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dalebend/dalebend/internal/atomictime"
)

// session reads the state and follows it until something fails.
func (w *Watcher) session(ctx context.Context) error {
	// Sequentially, so that one call finds out that the store is away.
	feeds := []*followed{
		{feed: &w.config, wait: w.wait, delayAfter: noDelay},
		{feed: &w.servers, wait: w.wait, delayAfter: w.rewatchDelay},
	}
	if w.OnCordons != nil {
		feeds = append(feeds, &followed{feed: &w.cordons, wait: longWait, delayAfter: noDelay, ownBound: true})
	}
	select {
	case <-w.reread:
	default:
	}
	if err := w.readAll(ctx, feeds); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	for _, f := range feeds {
		g.Go(func() error { return w.follow(ctx, f) })
	}
	if w.Companion != nil {
		g.Go(func() error { w.Companion.Follow(ctx); return nil })
	}
	g.Go(func() error { return w.awaitInactive(ctx) })
	g.Go(func() error {
		select {
		case <-w.reread:
			return errReread
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	return g.Wait()
}

// followed is one of the kinds of state that a session follows.
type followed struct {
	feed

	// wait returns how long the next watch waits for a change, delayAfter the delay before it after so many
	// changes.
	wait       func() time.Duration
	delayAfter func(changes int) time.Duration
	// ownBound is set for a kind whose changes have a longer bound than the others. Once it is read, a contact
	// does not depend on it.
	ownBound bool
	// knownAt is the time of the last answer after which all changes until then were delivered, zero before
	// the first.
	knownAt atomictime.Time
}

// readAll reads the whole state.
func (w *Watcher) readAll(ctx context.Context, feeds []*followed) error {
	w.feeds.Store(&feeds)
	if w.Companion != nil {
		if err := w.Companion.Load(ctx); err != nil {
			return err
		}
		w.contact.markReachable()
	}
	for _, f := range feeds {
		if err := w.read(ctx, f); err != nil {
			return err
		}
	}
	return nil
}

// read reads one kind of state.
func (w *Watcher) read(ctx context.Context, f *followed) error {
	asked := w.Clock.Now()
	if err := f.read(ctx); err != nil {
		return err
	}
	w.recordKnown(f, asked)
	return nil
}

// follow watches one kind of state until a call fails.
func (w *Watcher) follow(ctx context.Context, f *followed) error {
	delay := time.Duration(0)
	for w.Active() {
		began, wait := w.Clock.Now(), w.nextWait(f, delay)
		var answeredAt time.Time
		changes, err := f.watch(ctx, wait, func() { answeredAt = w.Clock.Now() })
		if err == nil {
			w.recordKnown(f, w.knownUntil(began, wait, answeredAt, changes))
		}
		if err := w.handleResult(ctx, f, err); err != nil {
			return err
		}
		delay = 0
		if changes > 0 {
			delay = f.delayAfter(changes)
			w.sleep(ctx, delay)
		} else {
			w.sleep(ctx, minCycle-w.Clock.Since(began))
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return errInactive
}

// nextWait returns how long the next watch of a kind waits for a change. It is shorter by the delay before it, so that the
// cycle is not longer, and within KnownEvery.
func (w *Watcher) nextWait(f *followed, delay time.Duration) time.Duration {
	wait := f.wait() - delay
	if every := w.knownEvery(); every > 0 {
		wait = min(wait, every-w.Clock.Since(f.knownAt.Load()))
	}
	return max(wait, minCycle)
}

func (w *Watcher) knownEvery() time.Duration {
	if w.KnownEvery == nil {
		return 0
	}
	return w.KnownEvery()
}

// handleResult records how a watch ended, and reads the whole state again if necessary.
func (w *Watcher) handleResult(ctx context.Context, f *followed, err error) error {
	switch {
	case err == nil:
		w.answered.Store(true)
		return nil
	case mustReread(err):
		w.Logger.Debug("reading the store again after a watch failed", slog.Any("cause", err))
		if errors.Is(err, ErrWatchSilent) {
			w.contact.markDoubtful()
		}
		return w.read(ctx, f)
	default:
		return err
	}
}

// recordKnown records that all changes of one kind until a time are delivered. A contact is the time until
// which that holds for all kinds: others take it for the word that this box knew all changes then, and one
// watch may be silent while the others are answered.
func (w *Watcher) recordKnown(f *followed, at time.Time) {
	f.knownAt.Store(at)
	w.contact.markReachable()
	contact := at
	for _, other := range *w.feeds.Load() {
		known := other.knownAt.Load()
		if known.Before(contact) && (!other.ownBound || known.IsZero()) {
			contact = known
		}
	}
	if contact.IsZero() {
		return
	}
	w.contact.markContact(contact)
	if w.OnContact != nil {
		w.OnContact()
	}
}

// knownUntil returns until when all changes are known by an answer to a watch that began at a time. The answer may
// be read long after the store gave it: one without changes was given at the end of the wait, any other at an
// unknown time.
func (w *Watcher) knownUntil(began time.Time, wait time.Duration, answeredAt time.Time, changes int) time.Time {
	if changes > 0 || w.Resumed != nil && w.Resumed().After(began) {
		return began
	}
	if given := began.Add(wait); given.Before(answeredAt) {
		return given
	}
	return answeredAt
}

// mustReread reports whether the state must be read again after a failed watch.
func mustReread(err error) bool {
	return errors.Is(err, ErrHistoryGone) || errors.Is(err, ErrWatchCut) || errors.Is(err, ErrWatchSilent)
}

// awaitInactive returns when the watcher becomes inactive.
func (w *Watcher) awaitInactive(ctx context.Context) error {
	for w.Active() {
		w.awaitWake(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return errInactive
}
