package outputlength

import "sync"

// minKeyAnswers is the number of answers from which a key's own distribution is used; below it the
// model's is.
const minKeyAnswers = 20

// Key identifies one kind of answers.
type Key struct {
	// Model and Account are names.
	Model   string
	Account string
	// Kind distinguishes chat from completion.
	Kind string
}

// Estimator holds the length distributions of a box, by key and by model. The number of keys is
// bounded by the configuration.
type Estimator struct {
	byKey   sync.Map // Key -> *Lengths
	byModel sync.Map // string -> *Lengths
	// hints are kept by model and kind alone, to collect enough answers quickly.
	hints sync.Map // Key -> *Hints
}

// Hints returns the hint model of one kind of answers of a model, over all accounts.
func (b *Estimator) Hints(k Key) *HintModel {
	k.Account = ""
	if h, ok := b.hints.Load(k); ok {
		return h.(*HintModel)
	}
	h, _ := b.hints.LoadOrStore(k, &HintModel{})
	return h.(*HintModel)
}

func (b *Estimator) forKey(k Key) *Distribution {
	if l, ok := b.byKey.Load(k); ok {
		return l.(*Distribution)
	}
	l, _ := b.byKey.LoadOrStore(k, NewDistribution(DefaultMemory))
	return l.(*Distribution)
}

func (b *Estimator) forModel(name string) *Distribution {
	if l, ok := b.byModel.Load(name); ok {
		return l.(*Distribution)
	}
	l, _ := b.byModel.LoadOrStore(name, NewDistribution(DefaultMemory))
	return l.(*Distribution)
}

// Observe records the length of an answer that ended by itself.
func (b *Estimator) Observe(k Key, n int) {
	b.forKey(k).Observe(n)
	b.forModel(k.Model).Observe(n)
}

// Curve returns the current curve of a key.
func (b *Estimator) Curve(k Key) *SurvivalCurve {
	l := b.forKey(k)
	if l.Weight() >= minKeyAnswers {
		return l.Curve()
	}
	return b.forModel(k.Model).Curve()
}
