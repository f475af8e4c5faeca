package schedule

import "github.com/dalebend/dalebend/internal/soak/history"

// Kinds of acts. Their names stand in histories and in the closing line.
const (
	// BoxStop, BoxKill, BoxPause and BoxHangUp send signals.
	BoxStop   history.Kind = "box-stop"
	BoxKill   history.Kind = "box-kill"
	BoxPause  history.Kind = "box-pause"
	BoxHangUp history.Kind = "box-hang-up"

	// Slow, Reset, CutForth, CutBack and Silent are what happens to links. Kinds are made
	// of one of the three prefixes and one of these.
	Slow     = "slow"
	Reset    = "reset"
	CutForth = "cut-forth"
	CutBack  = "cut-back"
	Silent   = "silent"
	// CallersLink, StoreLink and ServersLinks begin the kinds of links of callers to a
	// box, of a box to the store and of boxes to a server.
	CallersLink  = "callers-"
	StoreLink    = "store-link-"
	ServersLinks = "server-link-"

	// The store refuses, limits, ignores or resets calls, is slow, loses answers of
	// writes that it does at once or late, or forgets its history.
	StoreBusy    history.Kind = "store-busy"
	StoreLimited history.Kind = "store-limited"
	StoreSilent  history.Kind = "store-silent"
	StoreResets  history.Kind = "store-resets"
	StoreSlow    history.Kind = "store-slow"
	StoreLoses   history.Kind = "store-loses-answers"
	StoreLate    history.Kind = "store-writes-late"
	StoreForgets history.Kind = "store-forgets"
	// StoreReturns lets the store come back from an older copy, once or twice.
	StoreReturns history.Kind = "store-returns"
	// OddEntries lets another writer put objects that are no entries into the store's lists.
	OddEntries history.Kind = "odd-entries"

	// ServerAnswers lets a server answer in bad ways; it crashes, drains and leaves,
	// or leaves without having announced it.
	ServerAnswers  history.Kind = "server-answers-badly"
	ServerCrashes  history.Kind = "server-crashes"
	ServerDrains   history.Kind = "server-drains"
	ServerVanishes history.Kind = "server-vanishes"
	// ServerRestarts lets a server crash and start again under its id.
	ServerRestarts history.Kind = "server-restarts"
	// ServerLimits lets a server, or all of its service, name a limit for a time.
	ServerLimits history.Kind = "server-limits"
	// ServerLeavesUnheard lets a server say in its answers that it leaves while its entry does not, and
	// ServerHoldsOff lets one, or all of its service, turn requests away and ask boxes to hold off.
	ServerLeavesUnheard history.Kind = "server-leaves-unheard"
	ServerHoldsOff      history.Kind = "server-holds-off"
	// ServerStatesHuge lets a server, or all of its service, state sizes near 2^63 in its answers.
	ServerStatesHuge history.Kind = "server-states-huge"
	// ServerCutsHeads lets a server, or all of its service, stop in the heads of answers, and ServerEndless lets
	// bytes come without end in heads or bodies.
	ServerCutsHeads history.Kind = "server-cuts-heads"
	ServerEndless   history.Kind = "server-endless"
	// EnginesSlow lets engines turn slow while answers of resumed generations are lost.
	EnginesSlow history.Kind = "engines-slow"
	// BoxesIsolated cuts some boxes off from all servers.
	BoxesIsolated history.Kind = "boxes-isolated"
	// FollowersCut cuts all boxes but one or two off from the store as a server begins to leave, and
	// BoxesSleep pauses boxes for longer than the news of that may take.
	FollowersCut history.Kind = "followers-cut"
	BoxesSleep   history.Kind = "boxes-sleep"
	// ServersFull lets all servers turn requests away.
	ServersFull history.Kind = "servers-full"

	// ConfigChanges is a new version of the configuration.
	ConfigChanges history.Kind = "config-changes"
)

// family is a set of kinds that come together. A kind that stands twice is drawn twice as
// often.
type family []history.Kind

// families returns all families, in the order that seeds are drawn from.
func families() []family {
	return []family{
		{BoxStop, BoxStop, BoxKill, BoxPause, BoxHangUp},
		links(CallersLink),
		links(StoreLink),
		links(ServersLinks),
		{StoreBusy, StoreLimited, StoreSilent, StoreResets, StoreSlow, StoreLoses, StoreLate, StoreForgets},
		{ServerAnswers, ServerAnswers, ServersFull, ServerCrashes},
		{ServerDrains, ServerDrains, ServerVanishes},
		{ConfigChanges},
	}
}

// links are the kinds of one sort of links.
func links(prefix history.Kind) family {
	return family{prefix + Slow, prefix + Reset, prefix + CutForth, prefix + CutBack, prefix + Silent}
}
