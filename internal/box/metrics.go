package box

import "context"

// buildMetrics connects the gauges to the parts of the box.
func (b *Box) buildMetrics() {
	m := b.Metrics
	if m == nil {
		return
	}
	m.ConfigVersion.Compute(func() float64 { return float64(b.knownState().ConfigVersion) })
	m.ViewRevision.Compute(func() float64 { return float64(b.knownState().ViewRevision.Number()) })
	m.StoreEra.Compute(func() float64 { return float64(b.knownState().ViewRevision.Era()) })
	// Both ages are the time since the last contact with the store.
	m.ConfigAge.Compute(b.ageSeconds)
	m.ViewAge.Compute(b.ageSeconds)
	m.LiveBoxes.Compute(func() float64 { return float64(len(b.live())) })
	m.Servers.Compute(b.serverCount)
	m.CordonedDomains.Compute(func() float64 { return float64(len(b.directory.Cordons().Domains)) })
	m.RequestsHeld.Compute(func() float64 { return float64(b.quarantine.NumHeld()) })
	m.SegmentsHeld.Compute(func() float64 { return float64(b.quarantine.NumSegmentsHeld()) })
	m.PrefillTokenTime.Compute(func() float64 { return b.picker.PrefillTime.PerToken().Seconds() })
	m.DecodeTokenTime.Compute(func() float64 { return b.decodeTime.Median().Seconds() })
	m.EnginesWithDecodeTime.Compute(func() float64 { return float64(b.decodeTime.KnownEngines()) })
	m.ShutdownNotice.Compute(func() float64 { return b.shutdownNotice.Expected().Seconds() })
	m.ShutdownsSeen.Compute(func() float64 { return float64(b.shutdownNotice.Samples()) })
	m.ServersEjected.Compute(func() float64 { return float64(b.evidence.EjectedCount()) })
	m.Isolated.Compute(b.isolated)
	m.ServersByPeer.Compute(func() float64 { return float64(b.paths.NumDetours()) })
	m.Tunnels.Compute(func() float64 { return float64(b.tunnels.Open()) })
	m.ServersBrittle.Compute(func() float64 { return float64(b.brittle.NumBrittle()) })
	m.ServersLimited.Compute(func() float64 { return float64(b.serverLimits.NumLimited()) })
	m.ServersLeaving.Compute(func() float64 { return float64(b.departures.NumLeaving()) })
	m.ServersHeldOff.Compute(func() float64 { return float64(b.holdOffs.NumHeldOff()) })
	m.RetryBudgetLeft.Compute(func() float64 { return float64(b.retryBudget.TotalRemaining()) })
	m.ReturningCallersKnown.Compute(func() float64 { return float64(b.retryPriority.Len()) })
	m.OpenConnections.Compute(func() float64 { return float64(b.front.OpenConnections()) })
	buffers := b.front.Buffers
	m.BufferedBytes.Compute(func() float64 { now, _ := buffers.Buffered(); return float64(now) })
	m.MaxBufferedBytes.Compute(func() float64 { _, maxSoFar := buffers.Buffered(); return float64(maxSoFar) })
	m.UnreadServerBytes.Compute(func() float64 { return float64(buffers.Unread()) })
	m.SlowCallers.Compute(func() float64 { return float64(buffers.AwaitedCallers()) })
	m.OpenStreams.Compute(func() float64 { return float64(b.streams.OpenStreams()) })
	m.HeldUp.Compute(func() float64 { return b.streams.HeldUp().Seconds() })
}

// ageSeconds returns the age of the box's state, -1 if the store was never reached.
func (b *Box) ageSeconds() float64 {
	age := b.knownState().Age
	if age < 0 {
		return -1
	}
	return age.Seconds()
}

func (b *Box) isolated() float64 {
	if b.reach.Isolated() {
		return 1
	}
	return 0
}

func (b *Box) serverCount() float64 {
	if v := b.share.View(); v != nil {
		return float64(v.Servers.Len())
	}
	return 0
}

// serveMetrics serves the metrics until the context ends. Failures are only logged, since a box
// without metrics still serves its callers.
func (b *Box) serveMetrics(ctx context.Context) {
	if b.listeners.metrics == nil {
		return
	}
	if err := b.Metrics.Serve(ctx, b.listeners.metrics, b.smallConnLimit(portMetrics)); err != nil {
		b.Logger.Warn("metrics server failed", "error", err)
	}
}
