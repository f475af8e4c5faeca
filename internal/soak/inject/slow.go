package inject

import (
	"context"

	"github.com/dalebend/dalebend/internal/soak/pause"
	"github.com/dalebend/dalebend/internal/soak/schedule"
	"github.com/dalebend/dalebend/platform/standin"
)

const (
	// leastSlow and mostSlow bound how many times as long a slow engine takes for an event: longer than it may
	// take until a box looks for another one, and less than callers bear.
	leastSlow = 4
	mostSlow  = 12
	// mostLost bounds how many answers of resumed generations are lost meanwhile.
	mostLost = 6
	// mostOdd bounds how many answers a server gives in an odd mode.
	mostOdd = 20
)

// slowDown has the engines of every other slot turn slow, so that others with copies of their generations stay
// as they are, and loses answers of generations that go on there. No promise is excused by it.
func (i *Injector) slowDown(ctx context.Context, a schedule.Act) {
	var slow []string
	for n, e := range i.Fleet.Of("") {
		if e.Model && n/2%2 == a.Target%2 {
			slow = append(slow, e.ID)
		}
	}
	times := leastSlow + a.Pick%(mostSlow-leastSlow+1)
	i.Fleet.LoseAnswers(a.Pick >> pickShift % (mostLost + 1))
	for _, id := range slow {
		i.Fleet.SlowDown(id, times)
	}
	pause.For(ctx, i.Clock, a.Lasts)
	for _, id := range slow {
		i.Fleet.SlowDown(id, 1)
	}
	i.Fleet.LoseAnswers(0)
}

// everyOther has servers give every other of their next answers in one of some modes, in turn.
func (i *Injector) everyOther(a schedule.Act, modes ...standin.AnswerMode) (mend func()) {
	servers := i.inNeed(a)
	for _, e := range servers {
		var answers []standin.AnswerMode
		for n := range 1 + a.Pick>>pickShift%mostOdd {
			answers = append(answers, modes[(a.Pick+n)%len(modes)], standin.Good)
		}
		e.SetAnswers(answers...)
	}
	return func() {
		for _, e := range servers {
			e.SetAnswers()
		}
	}
}
