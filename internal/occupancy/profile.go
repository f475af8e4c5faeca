package occupancy

import "math"

// horizons are the distances ahead, in tokens per stream, at which memory is forecast. Streams of a
// batch grow together, one token a step.
var horizons = [...]int{0, 4, 8, 16, 24, 32, 48, 64, 96, 128, 192, 256, 512, 1024, 2048, 4096}

const horizonCount = len(horizons)

// minSurvivors is the expected number of remaining streams below which a horizon is left out of the
// peak: what remains then is the small probability of one very long answer, whose deviation says
// nothing about overrun.
const minSurvivors = 0.5

// profile is the forecast over the horizons: the mean and variance of memory, in tokens, and the
// expected number of remaining streams.
type profile struct {
	mean      [horizonCount]float64
	variance  [horizonCount]float64
	survivors [horizonCount]float64
}

// add adds count streams that hold tokens now and survive to each horizon with the given
// probability.
func (p *profile) add(count, tokens float64, outlives *[horizonCount]float64) {
	for k, t := range horizons {
		chance := outlives[k]
		size := tokens + float64(t)
		p.mean[k] += count * chance * size
		p.variance[k] += count * chance * (1 - chance) * size * size
		p.survivors[k] += count * chance
	}
}

// addStream adds one stream of this box.
func (p *profile) addStream(s *Stream) {
	produced := s.Produced()
	var outlives [horizonCount]float64
	for k, t := range horizons {
		outlives[k] = s.outlives(produced, t)
	}
	p.add(1, float64(s.prompt-s.shared+produced), &outlives)
}

// plus returns the sum of two independent forecasts.
func (p *profile) plus(o *profile) profile {
	sum := *p
	for k := range horizons {
		sum.mean[k] += o.mean[k]
		sum.variance[k] += o.variance[k]
		sum.survivors[k] += o.survivors[k]
	}
	return sum
}

// peak returns the maximum over the horizons of the mean plus z standard deviations.
func (p *profile) peak(z float64) float64 {
	top := 0.0
	for k := range horizons {
		if k > 0 && p.survivors[k] < minSurvivors {
			break
		}
		top = max(top, p.mean[k]+z*math.Sqrt(p.variance[k]))
	}
	return top
}
