package box

import (
	"log/slog"

	"github.com/dalebend/dalebend/internal/boxsettings"
	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/retrybudget"
)

// Reload applies changed settings: seeds, stop time and retry budget. Names and addresses stay until
// the process ends; a change of them is logged. While the box starts, Run applies the last ones.
func (b *Box) Reload(s *boxsettings.Settings) {
	b.reloadMu.Lock()
	defer b.reloadMu.Unlock()
	if !b.running {
		b.reloaded = s
		return
	}
	b.apply(s)
}

// beginReloads applies settings that changed while the box started, and from now on at once.
func (b *Box) beginReloads() {
	b.reloadMu.Lock()
	defer b.reloadMu.Unlock()
	b.running = true
	if b.reloaded != nil {
		b.apply(b.reloaded)
		b.reloaded = nil
	}
}

func (b *Box) apply(s *boxsettings.Settings) {
	b.node.SetSeeds(s.Seeds)
	b.stopGrace.Store(int64(s.StopGrace))
	b.retryBudget.SetLimits(budgetTerms(s))
	reason := "seeds, time to stop and retry budget are in force"
	if !s.SameAddresses(b.Settings) {
		reason += "; changed names and addresses need a restart"
	}
	b.log(event.SettingsReloaded, slog.String(event.KeyReason, reason))
}

func budgetTerms(s *boxsettings.Settings) retrybudget.Limits {
	return retrybudget.Limits{Ratio: s.RetryRatio, Minimum: s.RetryFloor, Window: s.RetryWindow}
}
