package engineload

import "sync/atomic"

// Generation is one generation of this box, as counted by the Tracker.
type Generation struct {
	tracker *Tracker
	prompt  int
	// expected is the number of output tokens that was expected at the start.
	expected int
	// server and backup are guarded by the tracker's lock.
	server string
	backup string
	// moving is set while backup is the target of a move.
	moving bool
	// moveEnded is set when no further move from the current engine will be tried.
	moveEnded bool
	// orphanedCopy marks an entry that is only a copy, of as many tokens as the prompt.
	orphanedCopy bool
	// generated counts output tokens; -1 until the first.
	generated atomic.Int64
}

// Place adds a generation on an engine, with the engine of its backup copy or "".
func (l *Tracker) Place(server, backup string, prompt, expected int) *Generation {
	r := &Generation{tracker: l, prompt: prompt, expected: expected, server: server, backup: backup}
	r.generated.Store(-1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own[r] = struct{}{}
	if l.OnPrompt != nil {
		l.OnPrompt(server, prompt)
	}
	return r
}

// AddOrphanedCopy adds a copy that no generation will resume from and that can't be freed, until
// its End.
func (l *Tracker) AddOrphanedCopy(server string, tokens int) *Generation {
	r := &Generation{tracker: l, prompt: tokens, backup: server, orphanedCopy: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own[r] = struct{}{}
	return r
}

// Move counts the generation on other engines from now on.
func (r *Generation) Move(server, backup string) {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.server = server
	r.backup = backup
	r.moving = false
	r.moveEnded = false
}

// EndMove records that the generation's move has succeeded or was given up, so that it no longer
// counts as one to be moved.
func (r *Generation) EndMove() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.moveEnded = true
}

// Reserve also counts the memory of the generation at the target of a move, until Move.
func (r *Generation) Reserve(target string) {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.backup = target
	r.moving = true
}

// SetGenerated records the number of output tokens so far. It takes no lock.
func (r *Generation) SetGenerated(tokens int) { r.generated.Store(int64(tokens)) }

// End removes the generation.
func (r *Generation) End() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	delete(r.tracker.own, r)
}

// load returns the load on the generation's engine and on the engine of its copy.
func (r *Generation) load() (load, copies Load) {
	if r.orphanedCopy {
		return Load{}, Load{CopyTokens: r.prompt}
	}
	generated := int(r.generated.Load())
	begun := generated >= 0
	prefill := 0
	if !begun {
		generated = 0
		prefill = r.prompt
	}
	held := r.prompt + generated
	growth := max(r.expected-generated, r.expected/growthFloorDivisor)
	load = Load{Streams: 1, HeldTokens: held, ExpectedGrowth: growth, PendingPrefill: prefill}
	if begun && !r.moveEnded && (r.backup == "" || r.moving) {
		load.Unreplicated = 1
	}
	copies = Load{CopyTokens: held + growth/2}
	if r.moving || generated < promptCopiedTokens {
		copies.IncomingCopies = 1
	}
	return load, copies
}

// promptCopiedTokens is the number of output tokens after which the copy of the prompt has arrived.
// The copy begins with the first token and takes 0.2 s within a failure domain and 0.4 s between
// them, for the usual 3,000 tokens over 24 Gbit/s; an engine generates some hundred tokens a
// second.
const promptCopiedTokens = 32

// growthFloorDivisor bounds the expected growth of a generation from below, at this fraction of its
// expected length: lengths have a long tail, and one that outlived its forecast is likely to go on.
const growthFloorDivisor = 4
