package occupancy

// RetentionCurve is the expected share of the memory of a box's running streams that is still held
// at each horizon. A box has few streams on one engine; over all engines it has enough to predict
// those of other boxes.
type RetentionCurve struct {
	held   [horizonCount]float64
	weight float64
}

// retentionMemory is the weight, in streams, over which old observations decay.
const retentionMemory = 200

// learn records the forecast of some streams.
func (s *RetentionCurve) learn(p *profile, tokens, count float64) {
	if count == 0 || tokens <= 0 {
		return
	}
	s.weight = min(s.weight+count, retentionMemory)
	gain := min(1, count/s.weight)
	for k, t := range horizons {
		share := min(1, p.mean[k]/(tokens+count*float64(t)))
		s.held[k] += gain * (share - s.held[k])
	}
}

// ready reports whether there are enough observations.
func (s *RetentionCurve) ready() bool { return s.weight >= retentionMemory/10 }
