package streaming

import (
	"time"

	"github.com/dalebend/dalebend/internal/picker"
	"github.com/dalebend/dalebend/internal/registry"
)

const (
	// minBackupTokens is the number of expected tokens from which a generation gets a copy on a
	// second engine. Expectations are often far off: one in seven long answers is expected to stay
	// below 120 tokens, yet runs for seconds. An answer of some 16 tokens ends well within an
	// engine's notice.
	minBackupTokens = 32
	// maxNoticeFraction is the fraction of the notice in which an engine must be drainable for its
	// generations to do without copies. The rest is for copies to other failure domains and for
	// busy links when several engines leave at once. Copies of all long generations fill engines
	// and links, which delays first events and causes preemption; without copies, streams are lost
	// with their engines.
	maxNoticeFraction = 0.45
)

// backupChoice is the engine that gets a copy of a generation, with the figures behind the choice.
type backupChoice struct {
	// server is nil if no copy is made or no engine has memory for one.
	server *registry.Server
	// drainTime is the time to move all generations without a copy off the engine, notice the
	// notice that it is expected to give. Both are 0 if they did not affect the choice.
	drainTime, notice time.Duration
}

// chooseBackup returns the engine for a copy of the generation, if it needs a copy.
func (x *run) chooseBackup(engine *registry.Server, need *picker.Requirements) backupChoice {
	e := x.job.Service.Engine
	if !e.Backups || x.expected < minBackupTokens {
		return backupChoice{}
	}
	var b backupChoice
	if e.Moves {
		b.drainTime = x.relay.Picker.DrainTime(x.job.Service, engine.ID, need)
		b.notice = x.relay.ShutdownNotice.Expected()
		if b.drainTime <= time.Duration(maxNoticeFraction*float64(b.notice)) {
			return b
		}
	}
	if c := x.relay.Picker.PickBackup(x.job.Service, engine, need); c != nil {
		b.server = c.Server
	}
	return b
}
