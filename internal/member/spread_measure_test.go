package member_test

import (
	"fmt"
	"strings"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// tellTime is how long to wait for a change to spread. A lost one is sent again with the next
// heartbeat.
const tellTime = 150 * time.Millisecond

// change has boxes change their loads at random times, and reports whether 99 in 100, or another
// percentage, of all reachable boxes learned of it within a duration.
func (s *spreadTest) change(d *datadriven.TestData) string {
	return s.measure(d, func(b *teller) func(other *teller) (time.Time, bool) {
		load := b.load + 1
		b.setLoad(load)
		return func(other *teller) (time.Time, bool) { return other.knows(b.Self.Name, load) }
	})
}

// note has boxes broadcast notes, and reports whether as many got them within a duration. None may
// get one twice.
func (s *spreadTest) note(d *datadriven.TestData) string {
	verdict := s.measure(d, func(b *teller) func(other *teller) (time.Time, bool) {
		text := fmt.Sprint(b.Self.Name, " at ", time.Now())
		require.True(s.t, b.BroadcastNote([]byte(text)))
		return func(other *teller) (time.Time, bool) { return other.noteAt(text) }
	})
	for _, b := range s.running() {
		require.Zero(s.t, b.repeated, b.Self.Name)
		require.Zero(s.t, b.misnamed, b.Self.Name)
	}
	return verdict
}

// cordon has one box read newer cordons, and reports whether all reachable boxes know of them
// within a duration.
func (s *spreadTest) cordon(d *datadriven.TestData) string {
	text := ""
	d.ScanArgs(s.t, "within", &text)
	within, err := time.ParseDuration(text)
	require.NoError(s.t, err)
	running := s.running()
	b := running[s.rand.IntN(len(running))]
	revision := b.cordons() + 1
	begun := time.Now()
	b.cordon(revision)
	missing := 0
	const look = 5 * time.Millisecond
	for ; time.Since(begun) <= within; time.Sleep(look) {
		synctest.Wait()
		missing = 0
		for _, other := range s.reachable(b) {
			if other.cordons() < revision {
				missing++
			}
		}
		if missing == 0 {
			return "all know in time\n"
		}
	}
	return fmt.Sprintf("%d do not know\n", missing)
}

// measure has boxes report something at random times. Begin returns a function that returns when
// another box learned of it.
func (s *spreadTest) measure(d *datadriven.TestData, begin func(b *teller) func(other *teller) (time.Time, bool)) string {
	count, inTime := 0, 99
	d.ScanArgs(s.t, "boxes", &count)
	d.MaybeScanArgs(s.t, "percent", &inTime)
	text := ""
	d.ScanArgs(s.t, "within", &text)
	within, err := time.ParseDuration(text)
	require.NoError(s.t, err)
	total, late := 0, 0
	slowest := time.Duration(0)
	for range count {
		running := s.running()
		b := running[s.rand.IntN(len(running))]
		begun := time.Now()
		knew := begin(b)
		time.Sleep(tellTime + time.Duration(s.rand.IntN(40))*time.Millisecond)
		synctest.Wait()
		for _, other := range s.reachable(b) {
			if other == b {
				continue
			}
			total++
			at, ok := knew(other)
			if !ok || at.Sub(begun) > within {
				late++
			}
			slowest = max(slowest, at.Sub(begun))
		}
	}
	if late*100 > total*(100-inTime) {
		return fmt.Sprintf("%d of %d were late or missed it, the slowest of the others after %v\n",
			late, total, slowest.Round(time.Millisecond))
	}
	return "in time\n"
}

// cost checks the datagrams and kilobytes that boxes send per second, on average and by the
// busiest, while some of them change their loads each second.
func (s *spreadTest) cost(d *datadriven.TestData) string {
	changes, datagrams, kilobytes, busiest := 0, 0, 0, 0
	d.ScanArgs(s.t, "changes", &changes)
	d.ScanArgs(s.t, "datagrams", &datagrams)
	d.ScanArgs(s.t, "kilobytes", &kilobytes)
	d.ScanArgs(s.t, "busiest", &busiest)
	const seconds = 2
	sent, bytes := s.totals()
	for i := range changes * seconds {
		time.Sleep(time.Second / time.Duration(changes))
		b := s.boxes[(i*7)%len(s.boxes)]
		b.setLoad(b.load + 1)
	}
	sentAfter, bytesAfter := s.totals()
	allSent, allBytes, most := 0, 0, 0
	for a := range bytesAfter {
		allSent += sentAfter[a] - sent[a]
		allBytes += bytesAfter[a] - bytes[a]
		most = max(most, bytesAfter[a]-bytes[a])
	}
	perBox := len(s.boxes) * seconds
	var over []string
	for _, c := range []struct {
		what      string
		got, most int
	}{
		{"datagrams", allSent / perBox, datagrams},
		{"kilobytes", allBytes / perBox >> 10, kilobytes},
		{"kilobytes of the busiest", most / seconds >> 10, busiest},
	} {
		if c.got > c.most {
			over = append(over, fmt.Sprintf("%d %s", c.got, c.what))
		}
	}
	if len(over) > 0 {
		return "a box sends a second " + strings.Join(over, ", ") + "\n"
	}
	return "as cheap as stated\n"
}

func (s *spreadTest) totals() (sent, bytes map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent, bytes = make(map[string]int), make(map[string]int)
	for a := range s.sent {
		sent[a], bytes[a] = s.sent[a], s.bytes[a]
	}
	return sent, bytes
}
